//! HTTP responses for refused requests.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::codes::{Code, RunState};
use crate::types::Refusal;

use super::body::{AnswerBody, full};
use super::names;

/// JSON body of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalBody {
    /// Number of the code.
    pub code: u16,
    /// Name of the code.
    pub name: String,
    /// Meaning of the code.
    pub message: String,
    /// Whether the request has run: `not run`, `running` or `unknown`.
    pub run: String,
}

impl From<Code> for RefusalBody {
    fn from(code: Code) -> Self {
        Self {
            code: code.number(),
            name: format!("{code:?}"),
            message: code.to_string(),
            run: run_state_text(code.run_state()).into(),
        }
    }
}

/// Builds the response for a refused request.
pub fn refusal_response(refusal: &Refusal) -> Response<AnswerBody> {
    let body = serde_json::to_vec(&RefusalBody::from(refusal.code)).expect("plain data");
    let mut response = Response::new(full(body));
    *response.status_mut() =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(names::CODE, HeaderValue::from(refusal.code.number()));
    if let Some(wait) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
    }
    response
}

/// Rounds up to whole seconds, the unit of the `retry-after` header.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

fn run_state_text(state: RunState) -> &'static str {
    match state {
        RunState::NotRun => "not run",
        RunState::Running => "running",
        RunState::Unknown => "unknown",
    }
}
