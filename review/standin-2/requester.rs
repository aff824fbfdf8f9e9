//! Requesters: each sends requests at a steady rate, on new channels or on one that it keeps.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::EVENTS;
use crate::record::Recorder;

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent_at: Instant,
    /// Time from sending to the end.
    pub took: Duration,
    /// Status of the answer; `None` without one.
    pub status: Option<u16>,
    /// True for a success with the engine's proof and the whole body.
    pub is_served: bool,
}

/// Requesters that send until they are dropped.
pub struct Requesters {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Requesters {
    /// Starts `count` requesters, each of which sends a request each `interval`, on a channel that it keeps
    /// or, unless `keeps_channels`, on a new one.
    pub fn start(
        entry: SocketAddr,
        kind: Kind,
        keeps_channels: bool,
        count: u32,
        interval: Duration,
        record: Recorder,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let next_id = Arc::new(AtomicU64::new(1));
        for n in 0..count {
            let (stop, outcomes) = (stop.clone(), outcomes.clone());
            let (next_id, record) = (next_id.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(interval * n / count);
                let mut kept = None;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", next_id.fetch_add(1, Ordering::SeqCst));
                    let sent_at = Instant::now();
                    let answer = match kept.take().map_or_else(|| open(entry), Ok) {
                        Ok(mut channel) => {
                            let answer = call(&mut channel, kind, &id);
                            kept = (keeps_channels && answer.is_ok()).then_some(channel);
                            answer
                        }
                        Err(err) => Err(err),
                    };
                    let (status, is_served, text) = match answer {
                        Ok((status, is_whole)) => {
                            let is_served = status == 200 && is_whole;
                            (
                                Some(status),
                                is_served,
                                format!("{status}, served {is_served}"),
                            )
                        }
                        Err(err) => (None, false, format!("no answer: {err}")),
                    };
                    let took = sent_at.elapsed();
                    record.line(format!(
                        "requester: {id} ended after {} ms with {text}",
                        took.as_millis()
                    ));
                    let outcome = Outcome {
                        sent_at,
                        took,
                        status,
                        is_served,
                    };
                    outcomes.lock().unwrap().push(outcome);
                    thread::sleep(interval.saturating_sub(sent_at.elapsed()));
                }
            });
        }
        Self { stop, outcomes }
    }

    /// Requests sent between two times.
    pub fn outcomes(&self, from: Instant, to: Instant) -> Vec<Outcome> {
        let outcomes = self.outcomes.lock().unwrap();
        let sent = outcomes
            .iter()
            .filter(|o| o.sent_at >= from && o.sent_at < to);
        sent.cloned().collect()
    }

    /// Requests sent between two times: how many, and how many of them were served.
    pub fn served(&self, from: Instant, to: Instant) -> (usize, usize) {
        let outcomes = self.outcomes.lock().unwrap();
        let sent = outcomes
            .iter()
            .filter(|o| o.sent_at >= from && o.sent_at < to);
        let sent: Vec<&Outcome> = sent.collect();
        (sent.len(), sent.iter().filter(|o| o.is_served).count())
    }
}

impl Drop for Requesters {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A resumable stream.
    Chat,
    /// A request that may run once, to the plain service.
    Hold,
}

/// Opens a channel.
fn open(entry: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    Ok(BufReader::new(stream))
}

/// Sends a request on a channel, which stays open for the next one; returns the status, and true for a whole
/// body with the engine's proof. An error is the end of the channel.
fn call(channel: &mut BufReader<TcpStream>, kind: Kind, id: &str) -> std::io::Result<(u16, bool)> {
    let (path, patience, extra) = match kind {
        Kind::Chat => {
            let extra =
                format!("Model: m0\r\nToken-Usage: 100,72\r\nPrompt-Prefix: 5c1e:40,{id}:60\r\n");
            ("/chat/x", 6_000, extra)
        }
        Kind::Hold => ("/hold/x", 2_500, String::new()),
    };
    let stream = channel.get_mut();
    stream.set_read_timeout(Some(Duration::from_millis(patience.min(3_000))))?;
    let body = format!("body of {id}");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n{extra}Deadline-Ms: {patience}\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let line = read_line(channel)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other("no status"))?;
    let (mut length, mut is_proven) = (None, false);
    loop {
        let line = read_line(channel)?.to_ascii_lowercase();
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        match name {
            "content-length" => length = value.trim().parse::<usize>().ok(),
            "server-stamp" => is_proven = true,
            _ => {}
        }
    }
    let mut body = Vec::new();
    match length {
        Some(length) => {
            body.resize(length, 0);
            channel.read_exact(&mut body)?;
        }
        None => loop {
            let size = usize::from_str_radix(&read_line(channel)?, 16);
            let size = size.map_err(std::io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            channel.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        },
    }
    let text = String::from_utf8_lossy(&body);
    let is_whole = match kind {
        Kind::Chat => text.matches("id: ").count() as u64 == EVENTS,
        Kind::Hold => body.len() == 800,
    };
    Ok((status, is_proven && is_whole))
}

/// A line without its end; an error at the end of the channel.
fn read_line(channel: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let mut line = String::new();
    if channel.read_line(&mut line)? == 0 {
        return Err(std::io::Error::other("the channel was closed"));
    }
    Ok(line.trim_end().to_owned())
}
