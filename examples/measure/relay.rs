//! TCP relay that can be stalled: its connections then stay open but carry no data, and neither end
//! sees an error.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

/// Size of the buffer of each direction of a connection.
const BUF_BYTES: usize = 16 << 10;

/// A running relay; dropping it closes its listener.
pub struct Relay {
    addr: SocketAddr,
    stalled: watch::Sender<bool>,
    _accept_task: AbortOnDropHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("loopback has free ports");
        let addr = listener
            .local_addr()
            .expect("a bound listener has an address");
        let (stalled, rx) = watch::channel(false);
        let task = tokio::spawn(accept(listener, target, rx));
        Self {
            addr,
            stalled,
            _accept_task: AbortOnDropHandle::new(task),
        }
    }

    /// Address on which the relay listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stalls every connection, or resumes them.
    pub fn stall(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, stalled: watch::Receiver<bool>) {
    while let Ok((client_side, _)) = listener.accept().await {
        let stalled = stalled.clone();
        tokio::spawn(async move {
            let Ok(target_side) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (client_side.set_nodelay(true), target_side.set_nodelay(true));
            let (client_rx, client_tx) = client_side.into_split();
            let (target_rx, target_tx) = target_side.into_split();
            tokio::join!(
                forward(client_rx, target_tx, stalled.clone()),
                forward(target_rx, client_tx, stalled)
            );
        });
    }
}

/// Forwards bytes in one direction; those read during a stall are sent when it ends.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut stalled: watch::Receiver<bool>,
) {
    let mut buf = vec![0; BUF_BYTES];
    while let Ok(count) = from.read(&mut buf).await {
        if stalled.wait_for(|stalled| !stalled).await.is_err() || count == 0 {
            return;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
