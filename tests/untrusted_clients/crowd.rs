//! Clients that send what an ordinary client would not.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Pause between two pieces of a body that is sent piece by piece.
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// Longest time for which a client tries to send; a server that reads no further ends its attempt.
const SEND_LIMIT: Duration = Duration::from_secs(10);

/// Body of one client, as bytes on the connection.
#[derive(Clone, Debug)]
pub struct Upload {
    /// Header that frames the body.
    pub framing: String,
    /// What is sent behind the head, in pieces.
    pub pieces: Vec<Vec<u8>>,
    /// True for a pause between two pieces.
    pub has_pauses: bool,
}

impl Upload {
    /// A body whose head announces `announced` bytes and that has `sent` of them.
    pub fn with_length(announced: usize, sent: usize) -> Self {
        Self {
            framing: format!("content-length: {announced}"),
            pieces: vec![vec![b'x'; sent]],
            has_pauses: false,
        }
    }

    /// A body in chunks of `chunk` bytes each, without the last chunk that ends it.
    pub fn in_chunks(chunk: usize, sent: usize) -> Self {
        let one = [
            format!("{chunk:x}\r\n").as_bytes(),
            &vec![b'x'; chunk],
            b"\r\n",
        ]
        .concat();
        Self {
            framing: "transfer-encoding: chunked".to_owned(),
            pieces: vec![one.repeat(sent / chunk)],
            has_pauses: false,
        }
    }

    /// The same bytes in pieces of `size` with a pause between them.
    pub fn piece_by_piece(self, size: usize) -> Self {
        let bytes = self.pieces.concat();
        Self {
            pieces: bytes.chunks(size).map(<[u8]>::to_vec).collect(),
            has_pauses: true,
            ..self
        }
    }

    /// Sends the upload alone and returns the status of its answer.
    pub async fn status(&self, addr: SocketAddr) -> Option<StatusCode> {
        let mut stream = self.send(addr).await?;
        let mut line = [0; 12];
        stream.read_exact(&mut line).await.ok()?;
        let code = std::str::from_utf8(&line).ok()?.strip_prefix("HTTP/1.1 ")?;
        code.parse().ok()
    }

    async fn send(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let head = format!(
            "POST /write/x HTTP/1.1\r\nhost: site.example\r\nauthorization: Token key-1\r\n\
             request-id: untrusted\r\ndeadline-ms: 6000\r\n{}\r\n\r\n",
            self.framing
        );
        let sending = async {
            stream.write_all(head.as_bytes()).await?;
            for piece in &self.pieces {
                stream.write_all(piece).await?;
                if self.has_pauses {
                    tokio::time::sleep(PIECE_PAUSE).await;
                }
            }
            std::io::Result::Ok(())
        };
        // A server may refuse the body or read no further; the connection stays open all the same.
        let _ = tokio::time::timeout(SEND_LIMIT, sending).await;
        Some(stream)
    }
}

/// Clients whose connections stay open and close when this is dropped.
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `clients` send the same upload at the same time.
    pub async fn uploading(addr: SocketAddr, clients: usize, upload: &Upload) -> Self {
        let mut senders = JoinSet::new();
        for _ in 0..clients {
            let upload = upload.clone();
            senders.spawn(async move { upload.send(addr).await });
        }
        let connections = senders.join_all().await;
        Self {
            connections: connections.into_iter().flatten().collect(),
        }
    }

    /// Opens connections on which nothing but `head` is sent.
    pub async fn connecting(addr: SocketAddr, clients: usize, head: &[u8]) -> Self {
        let mut connections = Vec::new();
        for _ in 0..clients {
            let connecting = tokio::time::timeout(SEND_LIMIT, TcpStream::connect(addr));
            let Ok(Ok(mut stream)) = connecting.await else {
                continue;
            };
            let _ = tokio::time::timeout(SEND_LIMIT, stream.write_all(head)).await;
            connections.push(stream);
        }
        Self { connections }
    }

    /// Waits until every client has an answer or has lost its connection, or `limit` has passed; returns
    /// whether they all have.
    pub async fn wait_until_ended(&self, limit: Duration) -> bool {
        let ended = async {
            for connection in &self.connections {
                // An error means that the server has closed it.
                let _ = connection.readable().await;
            }
        };
        tokio::time::timeout(limit, ended).await.is_ok()
    }
}
