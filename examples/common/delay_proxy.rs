//! A link between two processes: passes bytes on after a delay, and counts them.

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

/// Largest piece that is passed on at once.
const PIECE_BYTES: usize = 16 << 10;
/// Pieces that wait for their delay.
const PIECES: usize = 1_024;

/// A running link; dropping it cuts the link.
#[derive(Debug)]
pub struct DelayProxy {
    addr: SocketAddr,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl DelayProxy {
    /// Starts a link to `target` that takes `delay` in each direction.
    ///
    /// # Errors
    /// The system's error when no address can be bound.
    pub async fn spawn(target: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, delay, Arc::clone(&bytes)));
        Ok(Self { addr, bytes, task })
    }

    /// Address that stands for the target.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes passed on so far, in both directions.
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
    while let Ok((near, _)) = listener.accept().await {
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            // An end that is gone ends the connection, as on a real link.
            let _ = join(near, target, delay, bytes).await;
        });
    }
}

async fn join(
    near: TcpStream,
    target: SocketAddr,
    delay: Duration,
    bytes: Arc<AtomicU64>,
) -> io::Result<()> {
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    tokio::try_join!(
        pass(near_rx, far_tx, delay, &bytes),
        pass(far_rx, near_tx, delay, &bytes),
    )?;
    Ok(())
}

async fn pass(
    rx: impl AsyncRead + Unpin,
    tx: impl AsyncWrite + Unpin,
    delay: Duration,
    bytes: &AtomicU64,
) -> io::Result<()> {
    let (pieces_tx, pieces_rx) = mpsc::channel(PIECES);
    tokio::try_join!(
        read_pieces(rx, pieces_tx, delay),
        write_pieces(tx, pieces_rx, bytes),
    )?;
    Ok(())
}

type Piece = (Instant, Vec<u8>);

async fn read_pieces(
    mut rx: impl AsyncRead + Unpin,
    pieces: mpsc::Sender<Piece>,
    delay: Duration,
) -> io::Result<()> {
    loop {
        let mut buf = vec![0; PIECE_BYTES];
        let len = rx.read(&mut buf).await?;
        buf.truncate(len);
        if len == 0 || pieces.send((Instant::now() + delay, buf)).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_pieces(
    mut tx: impl AsyncWrite + Unpin,
    mut pieces: mpsc::Receiver<Piece>,
    bytes: &AtomicU64,
) -> io::Result<()> {
    while let Some((due, buf)) = pieces.recv().await {
        tokio::time::sleep_until(due).await;
        tx.write_all(&buf).await?;
        bytes.fetch_add(buf.len() as u64, Ordering::Relaxed);
    }
    tx.shutdown().await
}
