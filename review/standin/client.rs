//! Callers of the system.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Status of the answer; 0 when the connection ended before one.
    pub status: u16,
    /// True when the answer came to its end.
    pub is_whole: bool,
    /// Number of the last event of a stream.
    pub last_event: u64,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.is_whole && (200..300).contains(&self.status)
    }

    fn none() -> Self {
        Self {
            status: 0,
            is_whole: false,
            last_event: 0,
        }
    }
}

/// Request of a caller.
pub struct Call<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
    /// Time for which the caller waits.
    pub patience: Duration,
}

/// Head of a request on a connection that may be kept.
pub fn head(call: &Call) -> String {
    format!(
        "{} {} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Token key-1\r\nModel: m0\r\nToken-Usage: 100,72\r\nPrompt-Prefix: {:x}:100\r\nContent-Length: {}\r\n\r\n",
        call.method,
        call.path,
        call.id,
        call.patience.as_millis(),
        hash(call.id),
        call.body.len()
    )
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(7, |hash: u32, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    })
}

/// Sends a request on a new connection and reads the answer.
pub fn send(addr: SocketAddr, call: &Call) -> Outcome {
    exchange(addr, call).unwrap_or_else(|_| Outcome::none())
}

fn exchange(addr: SocketAddr, call: &Call) -> io::Result<Outcome> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(call.patience))?;
    stream.set_write_timeout(Some(call.patience))?;
    stream.write_all(head(call).as_bytes())?;
    stream.write_all(call.body)?;
    read_answer(&mut Reader::new(stream))
}

/// Sends a request on a channel that is kept, or on a new one, and reads the answer.
pub fn send_kept(channel: &mut Option<Reader>, addr: SocketAddr, call: &Call) -> Outcome {
    let mut exchange = || -> io::Result<Outcome> {
        if channel.is_none() {
            let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(call.patience))?;
            *channel = Some(Reader::new(stream));
        }
        let Some(reader) = channel.as_mut() else {
            return Ok(Outcome::none());
        };
        reader.stream.write_all(head(call).as_bytes())?;
        reader.stream.write_all(call.body)?;
        read_answer(reader)
    };
    exchange().unwrap_or_else(|_| Outcome::none())
}

/// Sends a booking with a large body on a new connection, at `rate` bytes a second.
pub fn upload(addr: SocketAddr, id: &str, bytes: usize, rate: f64) -> Outcome {
    let body = vec![b'x'; bytes];
    let call = Call {
        id,
        method: "POST",
        path: "/write/x",
        body: &body,
        patience: Duration::from_secs(6),
    };
    let exchange = || -> io::Result<Outcome> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(call.patience))?;
        stream.set_write_timeout(Some(call.patience))?;
        stream.write_all(head(&call).as_bytes())?;
        let start = Instant::now();
        for (n, part) in body.chunks(64 * 1024).enumerate() {
            let due = Duration::from_secs_f64((n * 64 * 1024) as f64 / rate);
            thread::sleep(due.saturating_sub(start.elapsed()));
            stream.write_all(part)?;
        }
        read_answer(&mut Reader::new(stream))
    };
    exchange().unwrap_or_else(|_| Outcome::none())
}

/// Reads an answer to its end.
pub fn read_answer(reader: &mut Reader) -> io::Result<Outcome> {
    let Some(head) = reader.head()? else {
        return Ok(Outcome::none());
    };
    let mut outcome = Outcome {
        status: head.status(),
        is_whole: false,
        last_event: 0,
    };
    if head.header("transfer-encoding").is_none() {
        outcome.is_whole = matches!(reader.body(&head), Ok(Some(_)));
        return Ok(outcome);
    }
    // Chunk by chunk, as a stream may break off.
    loop {
        let Ok(Some(size)) = reader.line() else {
            return Ok(outcome);
        };
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return Ok(outcome);
        };
        let Ok(Some(part)) = reader.exactly(size + 2) else {
            return Ok(outcome);
        };
        if size == 0 {
            outcome.is_whole = true;
            return Ok(outcome);
        }
        let text = String::from_utf8_lossy(&part).into_owned();
        let numbers = text.lines().filter_map(|line| line.strip_prefix("id:"));
        let last = numbers
            .filter_map(|number| number.trim().parse().ok())
            .next_back();
        outcome.last_event = last.unwrap_or(outcome.last_event);
    }
}
