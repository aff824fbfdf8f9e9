//! Names of the HTTP headers between callers, entries, agents and endpoints.

use std::str::FromStr;

use hyper::header::TRANSFER_ENCODING;
use hyper::{HeaderMap, StatusCode};

/// Names of the headers.
pub mod names {
    /// Class of the request.
    pub const CLASS: &str = "x-limpetloom-class";
    /// Name of the customer.
    pub const CUSTOMER: &str = "x-limpetloom-customer";
    /// Idempotency key.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Unix time in seconds at which the caller issued the key.
    pub const KEY_ISSUED: &str = "x-limpetloom-key-issued";
    /// Time in milliseconds within which the answer must start.
    pub const START_BUDGET: &str = "x-limpetloom-patience-ms";
    /// Number of a refusal's code.
    pub const CODE: &str = "x-limpetloom-code";
    /// Id of the attempt.
    pub const ATTEMPT: &str = "x-limpetloom-attempt";
    /// Name of the entry.
    pub const ENTRY: &str = "x-limpetloom-entry";
    /// Name of the endpoint.
    pub const ENDPOINT: &str = "x-limpetloom-endpoint";
    /// Instance of the agent for which the request is meant.
    pub const AGENT_INSTANCE: &str = "x-limpetloom-agent-instance";
    /// Generation of the configuration in force at the sender.
    pub const GENERATION: &str = "x-limpetloom-generation";
    /// Digest of the weight version that the answer must come from or comes from.
    pub const VERSION: &str = "x-limpetloom-version";
    /// Digest of the request's class and body.
    pub const FINGERPRINT: &str = "x-limpetloom-fingerprint";
    /// Estimated number of tokens in the answer.
    pub const ANSWER_TOKENS: &str = "x-limpetloom-tokens";
    /// Present when the request may have crashed an endpoint and must run alone.
    pub const SUSPECT: &str = "x-limpetloom-suspect";
    /// Number of answer tokens that were already delivered to the caller.
    pub const RESUME_FROM: &str = "x-limpetloom-resume-from";
    /// Requests in flight at the endpoint and their limit, as `in_flight/limit`.
    pub const LOAD: &str = "x-limpetloom-load";
    /// Id of a request at the endpoint.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Priority of a request at a model engine; lower numbers run first.
    pub const PRIORITY: &str = "x-priority";
    /// Digest of the weight version that a model engine serves.
    pub const ENGINE_VERSION: &str = "x-engine-version";
}

/// Value of a header as text; `None` when it is missing or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header as a number; `None` when it is missing or not a number.
pub fn header_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

/// True for the statuses that a final answer has (RFC 9110). The HTTP library reads up to 999, and takes a switch
/// of protocols, which no request asks for, for an answer.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// True when an answer with this head is one of the protocol, and its body is read as it was written. Of the
/// transfer codings, the HTTP library decodes chunks only: others, also one whose name was cut, would pass as bytes
/// of the body.
pub fn is_readable_answer(status: StatusCode, headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = codings
        .next()
        .is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    is_chunked && codings.next().is_none() && is_final_status(status)
}
