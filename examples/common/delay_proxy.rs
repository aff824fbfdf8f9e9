//! TCP proxy between two processes that delays and counts the bytes it forwards.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Maximum size of a segment, the data of one read.
const SEGMENT_BYTES: usize = 16 << 10;
/// Maximum number of segments that wait for the end of their delay, in each direction.
const MAX_WAITING_SEGMENTS: usize = 1_024;

/// A running proxy; dropping it stops accepting connections.
#[derive(Debug)]
pub struct DelayProxy {
    addr: SocketAddr,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl DelayProxy {
    /// Starts a proxy for `target` that adds `delay` in each direction.
    ///
    /// # Errors
    /// Fails if no address can be bound.
    pub async fn spawn(target: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, delay, Arc::clone(&bytes)));
        Ok(Self { addr, bytes, task })
    }

    /// Returns the address at which connections to the target are accepted.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of bytes forwarded so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for DelayProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, delay: Duration, bytes: Arc<AtomicU64>) {
    while let Ok((client, _)) = listener.accept().await {
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            // An error on either side closes both connections, as on a real network.
            let _ = proxy_connection(client, target, delay, bytes).await;
        });
    }
}

async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    delay: Duration,
    bytes: Arc<AtomicU64>,
) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    tokio::try_join!(
        forward(client_rx, server_tx, delay, &bytes),
        forward(server_rx, client_tx, delay, &bytes),
    )?;
    Ok(())
}

async fn forward(
    rx: impl AsyncRead + Unpin,
    tx: impl AsyncWrite + Unpin,
    delay: Duration,
    bytes: &AtomicU64,
) -> io::Result<()> {
    let (segments_tx, segments_rx) = mpsc::channel(MAX_WAITING_SEGMENTS);
    tokio::try_join!(
        read_segments(rx, segments_tx, delay),
        write_segments(tx, segments_rx, bytes),
    )?;
    Ok(())
}

/// Data with the time at which it is to be written.
type Segment = (Instant, Vec<u8>);

async fn read_segments(
    mut rx: impl AsyncRead + Unpin,
    segments: mpsc::Sender<Segment>,
    delay: Duration,
) -> io::Result<()> {
    loop {
        let mut buf = vec![0; SEGMENT_BYTES];
        let len = rx.read(&mut buf).await?;
        buf.truncate(len);
        if len == 0 || segments.send((Instant::now() + delay, buf)).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_segments(
    mut tx: impl AsyncWrite + Unpin,
    mut segments: mpsc::Receiver<Segment>,
    bytes: &AtomicU64,
) -> io::Result<()> {
    while let Some((due, buf)) = segments.recv().await {
        tokio::time::sleep_until(due).await;
        tx.write_all(&buf).await?;
        bytes.fetch_add(buf.len() as u64, Ordering::Relaxed);
    }
    tx.shutdown().await
}
