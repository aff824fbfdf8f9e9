//! What a server sends, byte by byte.

use std::fmt::{Debug, Formatter};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It closes it.
    Close,
    /// It resets it.
    Reset,
    /// It closes its own side and reads on.
    HalfClose,
}

pub const ENDS: [End; 3] = [End::Close, End::Reset, End::HalfClose];

/// How an answer shows where it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Length,
    /// The same length twice.
    LengthTwice,
    Chunked,
    ChunkedWithTrailers,
    /// Chunks and a length; the chunks count.
    ChunkedWithLength,
    /// Lines of the head that end without a carriage return.
    BareLineFeeds,
    /// By the end of the connection.
    Connection,
    /// The same, in an answer of HTTP/1.0.
    OldConnection,
}

pub const FRAMINGS: [Framing; 8] = [
    Framing::Length,
    Framing::LengthTwice,
    Framing::Chunked,
    Framing::ChunkedWithTrailers,
    Framing::ChunkedWithLength,
    Framing::BareLineFeeds,
    Framing::Connection,
    Framing::OldConnection,
];

/// The bytes of an answer, of which a server sends the first `cut`.
#[derive(Clone)]
pub struct Reply {
    framing: Framing,
    wire: Vec<u8>,
    /// Number of bytes of the head, and of the informational answers in front of it.
    head: usize,
    /// For each byte of `wire`, whether it is one of the body's data.
    is_data: Vec<bool>,
    pub cut: usize,
    pub end: End,
    /// Bytes that are written at a time; 0 for all.
    pub piece: usize,
    /// Time for which the server is silent after each of them.
    pub pause: Duration,
}

impl Debug for Reply {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let sent = String::from_utf8_lossy(&self.wire[..self.cut]);
        write!(f, "{:?} {:?} {sent:?}", self.framing, self.end)
    }
}

impl Reply {
    /// A success with the parts of a body, each of which is a chunk where the body is chunked; `interim`
    /// goes in front of it.
    pub fn new(interim: &str, framing: Framing, parts: &[String]) -> Self {
        let length = parts.iter().map(String::len).sum::<usize>();
        let (version, fields) = match framing {
            Framing::Length => ("1.1", format!("content-length: {length}\r\n")),
            Framing::LengthTwice => ("1.1", format!("content-length: {length}\r\n").repeat(2)),
            Framing::Chunked | Framing::ChunkedWithTrailers | Framing::BareLineFeeds => {
                ("1.1", "transfer-encoding: chunked\r\n".into())
            }
            Framing::ChunkedWithLength => (
                "1.1",
                "content-length: 3\r\ntransfer-encoding: chunked\r\n".into(),
            ),
            Framing::Connection => ("1.1", String::new()),
            Framing::OldConnection => ("1.0", String::new()),
        };
        let mut head = format!("{interim}HTTP/{version} 200 OK\r\nserver-stamp: s\r\n{fields}\r\n");
        if framing == Framing::BareLineFeeds {
            head = head.replace('\r', "");
        }
        let mut reply = Self {
            framing,
            head: head.len(),
            wire: Vec::new(),
            is_data: Vec::new(),
            cut: 0,
            end: End::Close,
            piece: 0,
            pause: Duration::ZERO,
        };
        reply.push(&head, false);
        for part in parts {
            if reply.is_chunked() {
                reply.push(&format!("{:x}\r\n", part.len()), false);
            }
            reply.push(part, true);
            if reply.is_chunked() {
                reply.push("\r\n", false);
            }
        }
        if reply.is_chunked() {
            reply.push("0\r\n", false);
            if framing == Framing::ChunkedWithTrailers {
                reply.push("x-sum: 7\r\n", false);
            }
            reply.push("\r\n", false);
        }
        reply.cut = reply.wire.len();
        reply
    }

    /// A whole answer of one chunk.
    pub fn whole(body: &str) -> Self {
        Self::new("", Framing::Chunked, &[body.into()])
    }

    /// Each of `answers`, cut after each of its bytes in each way.
    pub fn cuts(answers: &[Self]) -> impl Iterator<Item = Self> {
        answers.iter().flat_map(|answer| {
            let cuts = 0..=answer.len();
            cuts.flat_map(|cut| ENDS.map(|end| answer.cut_at(cut, end)))
        })
    }

    /// Bytes that are sent as they are, and are no answer that is valid to its end.
    pub fn invalid(wire: &str) -> Self {
        Self {
            framing: Framing::Length,
            head: wire.len(),
            wire: wire.into(),
            is_data: vec![false; wire.len()],
            cut: wire.len(),
            end: End::Close,
            piece: 0,
            pause: Duration::ZERO,
        }
    }

    fn push(&mut self, text: &str, is_data: bool) {
        self.wire.extend_from_slice(text.as_bytes());
        self.is_data.resize(self.wire.len(), is_data);
    }

    fn is_chunked(&self) -> bool {
        !matches!(
            self.framing,
            Framing::Length | Framing::LengthTwice | Framing::Connection | Framing::OldConnection
        )
    }

    /// True when the answer itself shows its end.
    pub fn is_framed(&self) -> bool {
        !matches!(self.framing, Framing::Connection | Framing::OldConnection)
    }

    /// Number of bytes of the head, and of the informational answers in front of it.
    pub fn head_len(&self) -> usize {
        self.head
    }

    /// Number of bytes of the whole answer.
    pub fn len(&self) -> usize {
        self.wire.len()
    }

    pub fn cut_at(&self, cut: usize, end: End) -> Self {
        Self {
            cut,
            end,
            ..self.clone()
        }
    }

    /// Sends the bytes and ends the connection.
    pub async fn send(&self, mut stream: TcpStream) {
        for piece in self.pieces() {
            if stream.write_all(piece).await.is_err() {
                return;
            }
            match self.pause {
                Duration::ZERO => tokio::task::yield_now().await,
                pause => tokio::time::sleep(pause).await,
            }
        }
        // Errors are ignored: the reader may have closed the connection already.
        match self.end {
            End::Close => drop(stream.shutdown().await),
            End::Reset => drop(stream.set_zero_linger()),
            End::HalfClose => {
                let _ = stream.shutdown().await;
                let _ = stream.read_to_end(&mut Vec::new()).await;
            }
        }
    }

    /// The bytes that are sent, in the pieces in which they are written.
    fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let size = match self.piece {
            0 => self.wire.len().max(1),
            size => size,
        };
        self.wire[..self.cut].chunks(size)
    }

    /// The data of the body that is sent.
    pub fn received(&self) -> Vec<u8> {
        let sent = self.wire[..self.cut].iter().zip(&self.is_data);
        sent.filter(|(_, is_data)| **is_data)
            .map(|(byte, _)| *byte)
            .collect()
    }

    /// True when what is sent proves that the answer is complete. One without length and chunks is, when
    /// its connection ends in good order after the head.
    pub fn is_proven(&self) -> bool {
        match self.is_framed() {
            true => self.cut == self.wire.len(),
            false => self.cut >= self.head && self.end != End::Reset,
        }
    }
}

/// Reads the head of a request that has no body; `None` when the connection ends before.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    stream.set_nodelay(true).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut head).await {
            Ok(1..) => {}
            _ => return None,
        }
    }
    String::from_utf8(head).ok()
}

/// A server that sends the same reply to each request.
pub struct ReplyServer {
    pub addr: SocketAddr,
    reply: Arc<Mutex<Reply>>,
}

impl ReplyServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let reply = Arc::new(Mutex::new(Reply::whole("")));
        let current = reply.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let reply = current.lock().unwrap().clone();
                tokio::spawn(async move {
                    // A body arrives with the head, and is short.
                    let mut req = [0; 4_096];
                    if stream.read(&mut req).await.is_ok_and(|length| length > 0) {
                        reply.send(stream).await;
                    }
                });
            }
        });
        Self { addr, reply }
    }

    pub fn set_reply(&self, reply: &Reply) {
        *self.reply.lock().unwrap() = reply.clone();
    }
}
