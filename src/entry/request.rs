//! Reads and parses a caller's request.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request};
use serde::Deserialize;

use crate::codes::Code;
use crate::http::{BodyLimits, header_number, header_text, names, read_body};
use crate::types::{Digest, RequestMeta, TargetId};

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path below which plain services stand.
const SERVICES_PATH: &str = "/services/";
/// Tokens of an answer when the request does not bound them.
const DEFAULT_TOKENS: u32 = 256;
/// Bytes of the first message that decide the prefix.
const PREFIX_BYTES: usize = 256;

/// A request that was read whole and parsed.
#[derive(Debug)]
pub(super) struct ParsedRequest {
    /// Description for the decision logic.
    pub(super) meta: RequestMeta,
    /// Method towards the endpoint.
    pub(super) method: Method,
    /// Path and query towards the endpoint.
    pub(super) path: String,
    /// Content type of the body.
    pub(super) content_type: Option<String>,
    /// Body, passed on as it is.
    pub(super) body: Bytes,
    /// True when the caller wants a stream.
    pub(super) is_streamed: bool,
}

/// Reads a request.
///
/// # Errors
///
/// Gives the code of the refusal: malformed, too large, too slow or unknown target.
pub(super) async fn read(
    req: Request<Incoming>,
    limits: BodyLimits,
) -> Result<ParsedRequest, Code> {
    let (head, body) = req.into_parts();
    let route = Route::parse(&head)?;
    let body = read_body(body, limits).await?;
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

/// Part of a chat completion request that the entry looks at.
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
        key: key(head)?,
        key_issued: key_issued(head)?,
        fingerprint: fingerprint(class, head, &body),
        prefix: None,
        tokens: 0,
        patience: patience(head)?,
    };
    let (path, is_streamed) = match route {
        Route::Chat => {
            let is_streamed = describe_chat(&mut meta, &body)?;
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

/// Reads what a chat request says of itself; true when it wants a stream.
fn describe_chat(meta: &mut RequestMeta, body: &[u8]) -> Result<bool, Code> {
    let chat: Chat = serde_json::from_slice(body).map_err(|_| Code::Malformed)?;
    meta.target = chat.model;
    meta.tokens = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    meta.prefix = chat
        .messages
        .first()
        .map(|message| prefix(&message.content));
    Ok(chat.stream)
}

fn prefix(content: &str) -> Digest {
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

/// Longest idempotency key in bytes.
const KEY_BYTES: usize = 128;

fn key(head: &Parts) -> Result<Option<crate::types::Key>, Code> {
    if !head.headers.contains_key(names::KEY) {
        return Ok(None);
    }
    header_text(&head.headers, names::KEY)
        .filter(|key| !key.is_empty() && key.len() <= KEY_BYTES)
        .map(|key| Some(key.into()))
        .ok_or(Code::Malformed)
}

fn key_issued(head: &Parts) -> Result<Option<SystemTime>, Code> {
    let seconds = optional_number::<u64>(head, names::KEY_ISSUED)?;
    seconds
        .map(|s| {
            SystemTime::UNIX_EPOCH
                .checked_add(Duration::from_secs(s))
                .ok_or(Code::Malformed)
        })
        .transpose()
}

fn patience(head: &Parts) -> Result<Option<Duration>, Code> {
    let millis = optional_number::<u32>(head, names::PATIENCE)?;
    Ok(millis.map(|ms| Duration::from_millis(u64::from(ms))))
}

fn optional_number<T: std::str::FromStr>(head: &Parts, name: &str) -> Result<Option<T>, Code> {
    if !head.headers.contains_key(name) {
        return Ok(None);
    }
    header_number(&head.headers, name)
        .map(Some)
        .ok_or(Code::Malformed)
}
