//! Stand-in for the platform's weight origin.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::raw::Flood;
use crate::reply::{Reply, answer, json as json_answer, query_number};
use crate::server::{ANY_PORT, Server};

/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 2_048;

/// Content of one piece of a version, different for each version and index.
pub fn piece(version: u64, index: u64) -> Vec<u8> {
    let mut bytes = vec![(version * 31 + index) as u8; PIECE_BYTES];
    bytes[..8].copy_from_slice(&(version << 32 | index).to_le_bytes());
    bytes
}

/// Running stand-in for the weight origin; dropping it stops it.
#[derive(Debug)]
pub struct SiteOrigin {
    server: Server,
    sent: Arc<AtomicU64>,
    floods: Arc<AtomicU64>,
    flood: Arc<Mutex<Option<Flood>>>,
}

impl SiteOrigin {
    /// Starts an origin that serves every version, each of `pieces` pieces.
    ///
    /// # Errors
    /// The system's error when no address can be bound.
    pub fn spawn(pieces: u64) -> io::Result<Self> {
        let sent = Arc::new(AtomicU64::new(0));
        let flood = Arc::new(Mutex::new(None::<Flood>));
        let floods = Arc::new(AtomicU64::new(0));
        let (counter, current_flood) = (sent.clone(), flood.clone());
        let flood_counter = floods.clone();
        let server = Server::spawn(ANY_PORT, move |req| {
            let (counter, flood_counter) = (counter.clone(), flood_counter.clone());
            let flood = *current_flood.lock().unwrap_or_else(PoisonError::into_inner);
            async move {
                match flood {
                    None => serve(&req, pieces, &counter),
                    Some(flood) => {
                        flood_counter.fetch_add(1, Ordering::Relaxed);
                        let raw = flood.replacing(&answer(StatusCode::OK, ""));
                        Some(raw.into_response())
                    }
                }
            }
        })?;
        Ok(Self {
            server,
            sent,
            floods,
            flood,
        })
    }

    /// Takes the origin off the network, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }

    /// Address of the origin.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Answers all further requests with a flood, or properly again.
    pub fn set_flood(&self, flood: Option<Flood>) {
        *self.flood.lock().unwrap_or_else(PoisonError::into_inner) = flood;
    }

    /// Number of floods sent so far.
    pub fn floods(&self) -> u64 {
        self.floods.load(Ordering::Relaxed)
    }

    /// Number of pieces served so far.
    pub fn pieces_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

fn serve(req: &Request<Incoming>, pieces: u64, sent: &AtomicU64) -> Reply {
    let version = query_number(req, "version").max(1);
    let path = req.uri().path();
    if let Some(model) = path.strip_prefix("/limpetloom/manifest/") {
        let digests: Vec<String> = (0..pieces)
            .map(|index| hex(&Sha256::digest(piece(version, index))))
            .collect();
        return Some(json_answer(&json!({
            "model": model, "version": version, "chunkBytes": PIECE_BYTES,
            "layers": 16, "digests": digests,
        })));
    }
    if path.starts_with("/limpetloom/piece/") {
        sent.fetch_add(1, Ordering::Relaxed);
        // The platform's `numItems` is the index of the piece here.
        let bytes = piece(version, query_number(req, "numItems"));
        return Some(answer(StatusCode::OK, bytes));
    }
    Some(answer(StatusCode::NOT_FOUND, ""))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
