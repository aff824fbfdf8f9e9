//! Connections to endpoints.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which TCP keepalive probes a connection, and the time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Opens a connection that detects a dead peer, within `timeout`.
///
/// # Errors
///
/// Fails when the peer refuses or does not answer in time. No byte of a request has been sent then.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Makes a connection detect a dead peer and send small writes at once. Not for connections from
/// callers: a caller that reads slowly would be disconnected as if it were dead.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
