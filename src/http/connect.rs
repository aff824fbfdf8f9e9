//! Connections to endpoints.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which sent bytes that nobody acknowledges break a connection.
const UNACKED: Duration = Duration::from_millis(1_500);
/// Silence after which the other side of a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// Opens a connection that notices a dead peer, within `limit`.
///
/// # Errors
///
/// Fails when the peer refuses or does not answer in time; no byte of a request was sent then.
pub async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    guard(&stream)?;
    Ok(stream)
}

/// Makes a connection notice a dead peer and send small writes at once. Only for connections to
/// endpoints: a caller that reads slowly would be cut as if it were dead.
fn guard(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
