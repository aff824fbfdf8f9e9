//! Reads and parses a caller's request.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request};
use serde::Deserialize;

use crate::codes::Code;
use crate::http::{BodyBudget, BodyLimits, header_number, header_text, names, read_body};
use crate::types::{Digest, RequestMeta, TargetId};

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Prefix of the paths of plain services.
const SERVICES_PATH: &str = "/services/";
/// Assumed number of answer tokens when the request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Number of leading bytes of the first message that identify its prefix.
const PREFIX_BYTES: usize = 256;

/// A request that was read completely and parsed.
#[derive(Debug)]
pub(super) struct ParsedRequest {
    /// Description for the core.
    pub(super) meta: RequestMeta,
    /// Method of the request to the endpoint.
    pub(super) method: Method,
    /// Path and query of the request to the endpoint.
    pub(super) path: String,
    /// Content type of the body.
    pub(super) content_type: Option<String>,
    /// Body, forwarded unchanged.
    pub(super) body: Bytes,
    /// True when the caller asked for a streamed answer.
    pub(super) is_streamed: bool,
}

/// Reads and parses a request.
///
/// # Errors
///
/// Returns the code to refuse the request with, when the request is malformed, too large, read too
/// slowly or has an unknown path.
pub(super) async fn read(
    req: Request<Incoming>,
    limits: BodyLimits,
    bodies: &BodyBudget,
) -> Result<ParsedRequest, Code> {
    let (head, body) = req.into_parts();
    let route = Route::parse(&head)?;
    let body = read_body(body, limits, bodies, head.extensions.get()).await?;
    parse(&head, route, body)
}

enum Route {
    Chat,
    Service { target: TargetId, path: String },
}

impl Route {
    fn parse(head: &Parts) -> Result<Self, Code> {
        let path = head.uri.path();
        if path == CHAT_PATH {
            return match head.method {
                Method::POST => Ok(Self::Chat),
                _ => Err(Code::Malformed),
            };
        }
        let rest = path
            .strip_prefix(SERVICES_PATH)
            .ok_or(Code::UnknownTarget)?;
        let (target, path) = rest.split_once('/').unwrap_or((rest, ""));
        let query = head
            .uri
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        Ok(Self::Service {
            target: target.into(),
            path: format!("/{path}{query}"),
        })
    }
}

/// The fields of a chat completion request that the entry uses.
#[derive(Deserialize)]
struct Chat {
    model: TargetId,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

fn parse(head: &Parts, route: Route, body: Bytes) -> Result<ParsedRequest, Code> {
    let headers = &head.headers;
    let class = header_text(headers, names::CLASS).ok_or(Code::UnknownClass)?;
    let customer = header_text(headers, names::CUSTOMER).ok_or(Code::UnknownCustomer)?;
    let mut meta = RequestMeta {
        class: class.into(),
        customer: customer.into(),
        target: TargetId::from(""),
        key: parse_key(head)?,
        key_issued: parse_key_issued(head)?,
        fingerprint: fingerprint(class, head, &body),
        prefix: None,
        tokens: 0,
        start_budget: parse_patience(head)?,
    };
    let (path, is_streamed) = match route {
        Route::Chat => {
            let is_streamed = fill_from_chat(&mut meta, &body)?;
            (CHAT_PATH.to_owned(), is_streamed)
        }
        Route::Service { target, path } => {
            meta.target = target;
            (path, false)
        }
    };
    let content_type = header_text(headers, "content-type").map(str::to_owned);
    Ok(ParsedRequest {
        meta,
        method: head.method.clone(),
        path,
        content_type,
        body,
        is_streamed,
    })
}

/// Fills in the fields that come from a chat request. Returns true when it asks for a streamed
/// answer.
fn fill_from_chat(meta: &mut RequestMeta, body: &[u8]) -> Result<bool, Code> {
    let chat: Chat = serde_json::from_slice(body).map_err(|_| Code::Malformed)?;
    meta.target = chat.model;
    meta.tokens = chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    meta.prefix = chat
        .messages
        .first()
        .map(|message| prefix_digest(&message.content));
    Ok(chat.stream)
}

fn prefix_digest(content: &str) -> Digest {
    let bytes = content.as_bytes();
    digest(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

fn digest(bytes: &[u8]) -> Digest {
    blake3::hash(bytes).to_hex().as_str().into()
}

fn fingerprint(class: &str, head: &Parts, body: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in [
        class,
        head.method.as_str(),
        head.uri.path(),
        head.uri.query().unwrap_or(""),
    ] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.finalize().to_hex().as_str().into()
}

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;

fn parse_key(head: &Parts) -> Result<Option<crate::types::Key>, Code> {
    if !head.headers.contains_key(names::IDEMPOTENCY_KEY) {
        return Ok(None);
    }
    header_text(&head.headers, names::IDEMPOTENCY_KEY)
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)
        .map(|key| Some(key.into()))
        .ok_or(Code::Malformed)
}

fn parse_key_issued(head: &Parts) -> Result<Option<SystemTime>, Code> {
    let seconds = optional_number::<u64>(head, names::KEY_ISSUED)?;
    seconds
        .map(|s| {
            SystemTime::UNIX_EPOCH
                .checked_add(Duration::from_secs(s))
                .ok_or(Code::Malformed)
        })
        .transpose()
}

fn parse_patience(head: &Parts) -> Result<Option<Duration>, Code> {
    let millis = optional_number::<u32>(head, names::START_BUDGET)?;
    Ok(millis.map(|ms| Duration::from_millis(u64::from(ms))))
}

/// Number in a header; `None` without the header, an error when it is not a number.
fn optional_number<T: std::str::FromStr>(head: &Parts, name: &str) -> Result<Option<T>, Code> {
    if !head.headers.contains_key(name) {
        return Ok(None);
    }
    header_number(&head.headers, name)
        .map(Some)
        .ok_or(Code::Malformed)
}
