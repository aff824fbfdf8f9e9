//! HTTP server of the stand-ins, which can be taken offline and back online on the same address.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};

use crate::raw::RawAnswer;
use crate::reply::Reply;

/// Length of the listener's queue of connections that are not yet accepted.
const BACKLOG: u32 = 4096;
/// Pause after a failed bind or accept, so that a lack of file descriptors does not cause a busy
/// loop.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Loopback address with port 0: the system picks a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    is_online: watch::Sender<bool>,
    /// Bound but never listening, so that no other process gets the port while the server is
    /// offline.
    _reservation: TcpSocket,
}

impl Server {
    /// Starts a server on an address; `handler` is called for each request.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn spawn<H, F>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let reservation = bind(addr)?;
        let addr = reservation.local_addr()?;
        let listener = bind(addr)?.listen(BACKLOG)?;
        let (is_online, is_online_rx) = watch::channel(true);
        tokio::spawn(run(addr, listener, is_online_rx, Arc::new(handler)));
        Ok(Self {
            addr,
            is_online,
            _reservation: reservation,
        })
    }

    /// Address of the listener, also while the server is offline.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes the server offline, which closes all its connections and refuses new ones, or back
    /// online.
    pub fn set_online(&self, online: bool) {
        self.is_online
            .send_if_modified(|current| std::mem::replace(current, online) != online);
    }
}

fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

async fn run<H, F>(
    addr: SocketAddr,
    first: TcpListener,
    mut is_online: watch::Receiver<bool>,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut listener = Some(first);
    loop {
        if let Some(listener) = listener.take() {
            accept_until_offline(listener, is_online.clone(), &handler).await;
        }
        // A dropped server leaves its last state in the channel. When that is "online", `wait_for`
        // alone would succeed, and this task would never end.
        if is_online.has_changed().is_err() || is_online.wait_for(|online| *online).await.is_err() {
            return;
        }
        listener = bind(addr).and_then(|socket| socket.listen(BACKLOG)).ok();
        if listener.is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn accept_until_offline<H, F>(
    listener: TcpListener,
    mut is_online: watch::Receiver<bool>,
    handler: &Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut offline_rx = is_online.clone();
    let offline = async { drop(offline_rx.wait_for(|online| !*online).await) };
    tokio::pin!(offline);
    is_online.mark_unchanged();
    loop {
        tokio::select! {
            () = &mut offline => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // Only later changes close the connection: the server may have gone offline and
                    // back online at once since the listener began to accept.
                    let mut is_online = is_online.clone();
                    if *is_online.borrow_and_update() {
                        tokio::spawn(serve(stream, is_online, Arc::clone(handler)));
                    }
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            },
        }
    }
}

async fn serve<H, F>(stream: TcpStream, mut is_online: watch::Receiver<bool>, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Ignored: without the option, small writes are delayed but still sent.
    let _ = stream.set_nodelay(true);
    let (raw_tx, mut raw_rx) = mpsc::channel(1);
    let service = service_fn(move |req| {
        let reply = handler(req);
        let raw_tx = raw_tx.clone();
        async move {
            let mut answer = reply.await.ok_or_else(|| {
                io::Error::other("the handler closed the connection without an answer")
            })?;
            match answer.extensions_mut().remove::<RawAnswer>() {
                None => Ok::<_, io::Error>(answer),
                Some(raw) => {
                    // The connection is taken from the HTTP library, which drops this future.
                    let _ = raw_tx.send(raw).await;
                    std::future::pending().await
                }
            }
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    // Going offline or dropping the server closes the connection at once.
    let raw = tokio::select! {
        _ = is_online.changed() => return,
        _ = &mut connection => return,
        Some(raw) = raw_rx.recv() => raw,
    };
    let stream = connection.into_parts().io.into_inner();
    tokio::select! {
        _ = is_online.changed() => {}
        () = raw.send(stream) => {}
    }
}
