//! Stand-in for the origin of the weights.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::http::{Message, answer, serve};
use crate::record::Record;
use crate::sha256;

/// Pieces of a version, and the size of one, as on the sheets.
pub const PIECES: u64 = 96;
pub const PIECE_BYTES: usize = 24_576;

/// Bytes of one piece of a version.
pub fn piece(version: u64, index: u64) -> Vec<u8> {
    let seed = (version << 32 | index).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let words = (0..PIECE_BYTES as u64 / 8).scan(seed, |state, _| {
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        Some(*state)
    });
    words.flat_map(u64::to_le_bytes).collect()
}

pub struct Origin {
    record: Arc<Record>,
    /// True while one digit of each manifest of a later version than the first is another one.
    pub spoils_manifests: AtomicBool,
    /// True once it is off its address; it then closes connections without an answer.
    pub is_gone: AtomicBool,
    /// Manifests by version; computed once.
    manifests: Mutex<Vec<(u64, String)>>,
    /// Answers since [`Self::spoils_manifests`] was set, and those of them that were spoilt.
    pub answers: AtomicU64,
    pub spoilt: AtomicU64,
}

impl Origin {
    pub fn spawn(addr: SocketAddr, record: Arc<Record>) -> io::Result<Arc<Self>> {
        let origin = Arc::new(Self {
            record,
            spoils_manifests: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            manifests: Mutex::default(),
            answers: AtomicU64::new(0),
            spoilt: AtomicU64::new(0),
        });
        let serving = origin.clone();
        serve(addr, Arc::new(move |req, out| serving.call(addr, req, out)))?;
        Ok(origin)
    }

    fn manifest(&self, model: &str, version: u64) -> String {
        let mut manifests = self
            .manifests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((_, manifest)) = manifests.iter().find(|(known, _)| *known == version) {
            return manifest.clone();
        }
        let digests = (0..PIECES).map(|index| sha256::hex(&piece(version, index)));
        let digests: Vec<String> = digests.map(|digest| format!("\"{digest}\"")).collect();
        let manifest = format!(
            r#"{{"model":"{model}","version":{version},"chunkBytes":{PIECE_BYTES},"layers":16,"digests":[{}]}}"#,
            digests.join(",")
        );
        manifests.push((version, manifest.clone()));
        manifest
    }

    fn call(&self, addr: SocketAddr, req: &Message, out: &mut TcpStream) -> io::Result<bool> {
        if self.is_gone.load(Ordering::SeqCst) {
            return Ok(false);
        }
        let version = req.query_number("version").unwrap_or(1);
        let is_spoiling = self.spoils_manifests.load(Ordering::SeqCst) && version > 1;
        self.answers.fetch_add(1, Ordering::SeqCst);
        if let Some(model) = req.path().strip_prefix("/limpetloom/manifest/") {
            let mut manifest = self.manifest(model, version);
            if is_spoiling {
                self.spoilt.fetch_add(1, Ordering::SeqCst);
                spoil_digit(&mut manifest);
            }
            let how = if is_spoiling {
                "spoilt: one digit of a digest differs"
            } else {
                "right"
            };
            self.record.line(&format!(
                "origin {addr}: manifest of version {version}, {how}"
            ));
            let headers = [("Content-Type", "application/json")];
            return answer(out, 200, &headers, manifest.as_bytes());
        }
        if req.path().starts_with("/limpetloom/piece/") {
            let index = req.query_number("numItems").unwrap_or(0);
            return answer(out, 200, &[], &piece(version, index));
        }
        answer(out, 404, &[], b"")
    }
}

/// Replaces the first digit of the first digest by another one.
fn spoil_digit(manifest: &mut String) {
    if let Some(at) = manifest
        .find("\"digests\":[\"")
        .map(|at| at + "\"digests\":[\"".len())
    {
        let other = if &manifest[at..=at] == "0" { "1" } else { "0" };
        manifest.replace_range(at..=at, other);
    }
}
