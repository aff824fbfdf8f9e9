//! HTTP server of a stand-in, which can be taken down and up again on the same address.

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
use tokio::sync::watch;

use crate::reply::Reply;

/// Backlog of the listener.
const BACKLOG: u32 = 4096;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Any free port on loopback.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    up: watch::Sender<bool>,
    /// Bound but never listening, so that the port stays ours while the server is down.
    _reservation: TcpSocket,
}

impl Server {
    /// Starts a server on an address with a handler for requests.
    ///
    /// # Errors
    /// The system's error when the address can not be bound.
    pub fn spawn<H, F>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let reservation = bind(addr)?;
        let addr = reservation.local_addr()?;
        let listener = bind(addr)?.listen(BACKLOG)?;
        let (up, up_rx) = watch::channel(true);
        tokio::spawn(run(addr, listener, up_rx, Arc::new(handler)));
        Ok(Self {
            addr,
            up,
            _reservation: reservation,
        })
    }

    /// Address of the listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes the server down, which cuts all its connections and refuses new ones, or up again.
    pub fn set_online(&self, up: bool) {
        self.up
            .send_if_modified(|current| std::mem::replace(current, up) != up);
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
    mut up: watch::Receiver<bool>,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut listener = Some(first);
    loop {
        if let Some(listener) = listener.take() {
            accept_until_down(listener, up.clone(), &handler).await;
        }
        // A dropped server leaves its last state behind, which the wait alone would take for "up".
        if up.has_changed().is_err() || up.wait_for(|up| *up).await.is_err() {
            return;
        }
        listener = bind(addr).and_then(|socket| socket.listen(BACKLOG)).ok();
        if listener.is_none() {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

async fn accept_until_down<H, F>(
    listener: TcpListener,
    mut up: watch::Receiver<bool>,
    handler: &Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut guard = up.clone();
    let down = async { drop(guard.wait_for(|up| !*up).await) };
    tokio::pin!(down);
    up.mark_unchanged();
    loop {
        tokio::select! {
            () = &mut down => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve(stream, up.clone(), Arc::clone(handler)));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
}

async fn serve<H, F>(stream: TcpStream, mut up: watch::Receiver<bool>, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Failure leaves delayed sends on, which changes speed only.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let reply = handler(req);
        async move {
            reply
                .await
                .ok_or_else(|| io::Error::other("the stand-in closes the connection"))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    // A change of the state, or its end, cuts the connection at once.
    tokio::select! {
        _ = up.changed() => {}
        _ = connection => {}
    }
}
