//! Headers of the system's own.

use std::str::FromStr;

use hyper::HeaderMap;

/// Names of the headers.
pub mod names {
    /// Class of work.
    pub const CLASS: &str = "x-limpetloom-class";
    /// Customer.
    pub const CUSTOMER: &str = "x-limpetloom-customer";
    /// Idempotency key.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Unix time in seconds at which the caller issued the key.
    pub const KEY_ISSUED: &str = "x-limpetloom-key-issued";
    /// Milliseconds that the caller waits for the start of the answer.
    pub const START_BUDGET: &str = "x-limpetloom-patience-ms";
    /// Numbered result code of a refusal.
    pub const CODE: &str = "x-limpetloom-code";
    /// Name of the attempt.
    pub const ATTEMPT: &str = "x-limpetloom-attempt";
    /// Name of the entry.
    pub const ENTRY: &str = "x-limpetloom-entry";
    /// Name of the endpoint.
    pub const ENDPOINT: &str = "x-limpetloom-endpoint";
    /// Instance of the agent that is meant.
    pub const AGENT_INSTANCE: &str = "x-limpetloom-agent-instance";
    /// Generation in force at the sender.
    pub const GENERATION: &str = "x-limpetloom-generation";
    /// Digest of the version that answers.
    pub const VERSION: &str = "x-limpetloom-version";
    /// Digest of class and body.
    pub const FINGERPRINT: &str = "x-limpetloom-fingerprint";
    /// Estimate of the tokens in the answer.
    pub const ANSWER_TOKENS: &str = "x-limpetloom-tokens";
    /// Set when the request must run alone.
    pub const SUSPECT: &str = "x-limpetloom-suspect";
    /// Number of tokens that were already delivered.
    pub const RESUME_FROM: &str = "x-limpetloom-resume-from";
    /// Requests in flight and limit of the endpoint, as `in_flight/limit`.
    pub const LOAD: &str = "x-limpetloom-load";
    /// Name of a request towards an endpoint.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Rank of a request towards an engine; a lower number goes first.
    pub const PRIORITY: &str = "x-priority";
    /// Digest of the version that a model engine serves.
    pub const ENGINE_VERSION: &str = "x-engine-version";
}

/// Text of a header; `None` when it is missing or not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Number in a header; `None` when it is missing or not a number.
pub fn header_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}
