//! HTTP/1.1 over blocking sockets, one thread for each connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Head and body of a request, or head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or version and status.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        let target = self.start.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.start.get(1)?.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Status of an answer; 0 when it has none.
    pub fn status(&self) -> u16 {
        self.start
            .get(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads what arrives on a connection and keeps what is not used yet.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 64 * 1024];
        let length = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    /// Reads a head; `None` when the connection ends before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines
            .next()
            .unwrap_or_default()
            .split(' ')
            .map(str::to_owned)
            .collect();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(Some(Message {
            start,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    /// Reads bytes of a known number; `None` when the connection ends before.
    pub fn exactly(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buf.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buf.drain(..length).collect()))
    }

    /// Reads a line without its end.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the body that a head announces; `None` when it is cut.
    pub fn body(&mut self, head: &Message) -> io::Result<Option<Vec<u8>>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let Some(size) = self.line()? else {
                    return Ok(None);
                };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return Ok(None);
                };
                let Some(part) = self.exactly(size + 2)? else {
                    return Ok(None);
                };
                if size == 0 {
                    return Ok(Some(body));
                }
                body.extend_from_slice(&part[..size]);
            }
        }
        let length = head
            .header("content-length")
            .and_then(|length| length.parse().ok());
        self.exactly(length.unwrap_or(0))
    }
}

/// Handles a request and writes the answer; returns whether the connection is kept.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Serves `handler` at an address until the process ends.
pub fn serve(addr: SocketAddr, handler: Arc<Handler>) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    while let Some(mut req) = reader.head()? {
        let Some(body) = reader.body(&req)? else {
            return Ok(());
        };
        req.body = body;
        if !handler(&req, &mut out)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes a whole answer with a length.
pub fn answer(
    out: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut head = format!(
        "HTTP/1.1 {status} status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)?;
    Ok(true)
}
