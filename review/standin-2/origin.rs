//! The service that publishes the weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use crate::http;
use crate::record::Recorder;
use crate::sha256::hex_digest;

/// Pieces of a version and their size, as on the site `chakra-loom`.
pub const PIECES: u64 = 96;
const PIECE_BYTES: usize = 24_576;

/// Bytes of a piece.
pub fn piece(version: u64, index: u64) -> Vec<u8> {
    let mut x = version * 1_000_003 + index * 7_919 + 1;
    let next = move || {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        x as u8
    };
    std::iter::repeat_with(next).take(PIECE_BYTES).collect()
}

/// A running origin.
pub struct Origin {
    /// Number of further manifests that are sent with one wrong digit.
    pub spoilt_manifests: Arc<AtomicU32>,
}

impl Origin {
    pub fn start(addr: SocketAddr, record: Recorder) -> std::io::Result<Self> {
        let spoilt_manifests = Arc::new(AtomicU32::new(0));
        let spoilt = spoilt_manifests.clone();
        let online = Arc::new(AtomicBool::new(true));
        http::serve(
            addr,
            online,
            Arc::new(move |request, stream| {
                let version = request.number("version").unwrap_or(1);
                if let Some(model) = request.path.strip_prefix("/limpetloom/manifest/") {
                    let digests = (0..PIECES).map(|index| hex_digest(&piece(version, index)));
                    let mut digests: Vec<String> = digests.collect();
                    let take = |left: u32| left.checked_sub(1);
                    let is_spoilt = spoilt.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
                    if is_spoilt.is_ok() {
                        let digit = if digests[40].starts_with('0') { "1" } else { "0" };
                        digests[40].replace_range(..1, digit);
                    }
                    record.line(format!(
                        "origin: manifest of version {version}{}",
                        if is_spoilt.is_ok() { ", one digit of digest 40 is wrong" } else { "" }
                    ));
                    let body = format!(
                        r#"{{"model":"{model}","version":{version},"chunkBytes":{PIECE_BYTES},"layers":16,"digests":["{}"]}}"#,
                        digests.join("\",\"")
                    );
                    return http::json(stream, "200 OK", &body);
                }
                if request.path.starts_with("/limpetloom/piece/") {
                    let index = request.number("numItems").unwrap_or(0);
                    if index == 40 {
                        record.line(format!("origin: piece 40 of version {version}, sound"));
                    }
                    return http::answer(stream, "200 OK", "", &piece(version, index));
                }
                http::json(stream, "404 Not Found", "{}")
            }),
        )?;
        Ok(Self { spoilt_manifests })
    }
}
