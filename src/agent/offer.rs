//! Parses an attempt that an entry offers.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request};

use crate::codes::Code;
use crate::http::{BodyBudget, BodyLimits, header_number, header_text, names, read_body};

use super::core::Offer;

/// Start budget of an attempt that names none.
const DEFAULT_START_BUDGET: Duration = Duration::from_secs(30);

/// An offer and the parts of the request that are forwarded to the endpoint.
#[derive(Debug)]
pub(super) struct OfferedRequest {
    /// Input for the agent core.
    pub(super) offer: Offer,
    /// Method for the request to the endpoint.
    pub(super) method: Method,
    /// Path and query for the request to the endpoint.
    pub(super) path: String,
    /// Content type of the body.
    pub(super) content_type: Option<String>,
    /// Number of tokens that the caller has already received; 0 for the whole answer.
    pub(super) resume_from: u64,
    /// Body of the caller's request.
    pub(super) body: Bytes,
}

/// Reads an offer from a request.
///
/// # Errors
///
/// Returns the code to refuse it with: the request is malformed, or its body is too large or
/// arrives too slowly.
pub(super) async fn read(
    req: Request<Incoming>,
    limits: BodyLimits,
    bodies: &BodyBudget,
) -> Result<OfferedRequest, Code> {
    let (head, body) = req.into_parts();
    let offer = offer(&head.headers).ok_or(Code::Malformed)?;
    let body = read_body(body, limits, bodies, head.extensions.get()).await?;
    Ok(OfferedRequest {
        offer,
        method: head.method.clone(),
        path: path(&head),
        content_type: header_text(&head.headers, CONTENT_TYPE.as_str()).map(str::to_owned),
        resume_from: header_number(&head.headers, names::RESUME_FROM).unwrap_or(0),
        body,
    })
}

fn path(head: &Parts) -> String {
    head.uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), |path| path.to_string())
}

fn offer(headers: &HeaderMap) -> Option<Offer> {
    Some(Offer {
        attempt: header_text(headers, names::ATTEMPT)?.into(),
        entry: header_text(headers, names::ENTRY)?.into(),
        endpoint: header_text(headers, names::ENDPOINT)?.into(),
        agent_instance: header_number(headers, names::AGENT_INSTANCE)?,
        generation: header_number(headers, names::GENERATION)?,
        class: header_text(headers, names::CLASS)?.into(),
        customer: header_text(headers, names::CUSTOMER)?.into(),
        key: header_text(headers, names::IDEMPOTENCY_KEY).map(Into::into),
        fingerprint: header_text(headers, names::FINGERPRINT)?.into(),
        version: header_text(headers, names::VERSION).map(Into::into),
        tokens: header_number(headers, names::ANSWER_TOKENS).unwrap_or(0),
        start_budget: start_budget(headers),
        suspect: headers.contains_key(names::SUSPECT),
    })
}

fn start_budget(headers: &HeaderMap) -> Duration {
    header_number::<u64>(headers, names::START_BUDGET)
        .filter(|millis| *millis > 0)
        .map_or(DEFAULT_START_BUDGET, Duration::from_millis)
}
