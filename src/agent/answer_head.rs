//! Checks the head of an endpoint's answer.

use hyper::{HeaderMap, StatusCode};

use crate::codes::Code;
use crate::http::{header_text, is_readable_answer, names};
use crate::settings::EndpointKind;

/// What an answer must match to be forwarded.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedAnswer<'a> {
    pub endpoint: EndpointKind,
    /// Attempt that the request was sent for.
    pub attempt: &'a str,
    /// Version that the attempt is pinned to.
    pub version: Option<&'a str>,
}

/// Why an answer is not forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RejectedHead {
    pub code: Code,
    /// False when the endpoint certainly has not run the request.
    pub maybe_run: bool,
}

impl ExpectedAnswer<'_> {
    /// Checks a head. Only an answer to this attempt can prove that the request was not run.
    pub fn check(&self, status: StatusCode, headers: &HeaderMap) -> Result<(), RejectedHead> {
        let broken = RejectedHead {
            code: Code::AnswerBroken,
            maybe_run: true,
        };
        let echoed_id = header_text(headers, names::REQUEST_ID);
        if echoed_id.is_some_and(|id| id != self.attempt) || !is_readable_answer(status, headers) {
            return Err(broken);
        }
        if self.endpoint == EndpointKind::Service {
            return Ok(());
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            // A model engine sends this status only before it runs a request.
            return Err(RejectedHead {
                code: Code::NoEndpoint,
                maybe_run: false,
            });
        }
        match header_text(headers, names::ENGINE_VERSION) == self.version {
            true => Ok(()),
            false => Err(broken),
        }
    }
}
