//! Relay before a listener that can be stalled, so that a link gives neither data nor an error.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

/// Bytes that are passed on at a time.
const BUF_BYTES: usize = 16 << 10;

/// A relay; dropping it closes its listener.
pub struct Relay {
    addr: SocketAddr,
    stalled: watch::Sender<bool>,
    _listener: AbortOnDropHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("loopback has free ports");
        let addr = listener.local_addr().expect("it is bound");
        let (stalled, rx) = watch::channel(false);
        let task = tokio::spawn(accept(listener, target, rx));
        Self {
            addr,
            stalled,
            _listener: AbortOnDropHandle::new(task),
        }
    }

    /// Address of the relay.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stalls every connection, or lets them go on.
    pub fn stall(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, stalled: watch::Receiver<bool>) {
    while let Ok((near, _)) = listener.accept().await {
        let stalled = stalled.clone();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            tokio::join!(
                pass(near_rx, far_tx, stalled.clone()),
                pass(far_rx, near_tx, stalled)
            );
        });
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut stalled: watch::Receiver<bool>) {
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
