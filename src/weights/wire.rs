//! HTTP requests that agents send each other to exchange weights.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::types::{Digest, HostId};

use super::bitmap::ChunkSet;

/// Path prefix of the requests that agents send each other.
pub const PATH_PREFIX: &str = "/weights/";
/// Header with the name of the sender's host.
pub const HOST_HEADER: &str = "x-limpetloom-host";
/// Header with the address of the sender's traffic listener.
pub const ADDR_HEADER: &str = "x-limpetloom-addr";
/// Header of a chunk response with the chunks that the sender holds, as a hexadecimal bitmap.
pub const HAVE_HEADER: &str = "x-limpetloom-have";

/// A request from one agent to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerRequest {
    /// `GET /weights/DIGEST/manifest`
    Manifest(Digest),
    /// `GET /weights/DIGEST/chunks/INDEX`
    Chunk(Digest, u32),
    /// `POST /weights/DIGEST/have`; the body is a bitmap, or empty before the manifest is known.
    Have(Digest),
}

impl PeerRequest {
    /// Parses the path of a request.
    pub fn parse(path: &str) -> Option<Self> {
        let mut parts = path.strip_prefix(PATH_PREFIX)?.split('/');
        let version: Digest = Arc::from(parts.next()?);
        match (parts.next()?, parts.next(), parts.next()) {
            ("manifest", None, None) => Some(Self::Manifest(version)),
            ("chunks", Some(index), None) => Some(Self::Chunk(version, index.parse().ok()?)),
            ("have", None, None) => Some(Self::Have(version)),
            _ => None,
        }
    }

    /// Formats the path of the request.
    pub fn path(&self) -> String {
        match self {
            Self::Manifest(version) => format!("{PATH_PREFIX}{version}/manifest"),
            Self::Chunk(version, index) => format!("{PATH_PREFIX}{version}/chunks/{index}"),
            Self::Have(version) => format!("{PATH_PREFIX}{version}/have"),
        }
    }
}

/// Sender of an announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Name of its host.
    pub host: HostId,
    /// Address of its traffic listener.
    pub addr: SocketAddr,
}

impl Sender {
    /// Parses the sender from the headers of a request.
    pub fn from_headers(headers: &hyper::HeaderMap) -> Option<Self> {
        let host = headers.get(HOST_HEADER)?.to_str().ok()?;
        let addr = headers.get(ADDR_HEADER)?.to_str().ok()?.parse().ok()?;
        Some(Self {
            host: Arc::from(host),
            addr,
        })
    }
}

/// Encodes a set as the value of [`HAVE_HEADER`].
pub fn have_header(have: &ChunkSet) -> String {
    have.to_bytes()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Decodes a set from the value of [`HAVE_HEADER`].
pub fn parse_have_header(text: &str) -> Option<ChunkSet> {
    let digits = text.as_bytes().chunks(2);
    let bytes: Option<Vec<u8>> = digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect();
    Some(ChunkSet::from_bytes(&bytes?))
}
