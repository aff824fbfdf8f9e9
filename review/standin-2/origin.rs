//! The service that publishes the weights.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::http;
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

/// Starts the origin.
pub fn start(addr: SocketAddr) -> std::io::Result<()> {
    http::serve(
        addr,
        Arc::new(move |request, stream| {
            let version = request.number("version").unwrap_or(1);
            if let Some(model) = request.path.strip_prefix("/limpetloom/manifest/") {
                let digests = (0..PIECES).map(|index| hex_digest(&piece(version, index)));
                let digests: Vec<String> = digests.collect();
                let body = format!(
                    r#"{{"model":"{model}","version":{version},"chunkBytes":{PIECE_BYTES},"layers":16,"digests":["{}"]}}"#,
                    digests.join("\",\"")
                );
                return http::json(stream, "200 OK", &body);
            }
            if request.path.starts_with("/limpetloom/piece/") {
                let index = request.number("numItems").unwrap_or(0);
                return http::answer(stream, "200 OK", "", &piece(version, index));
            }
            http::json(stream, "404 Not Found", "{}")
        }),
    )
}
