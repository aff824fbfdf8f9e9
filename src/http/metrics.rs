//! Access to the metrics over HTTP, for holders of a token.

use hyper::header::AUTHORIZATION;
use hyper::{Request, Response, StatusCode};

use crate::settings::Secret;
use crate::telemetry::Metrics;

use super::{AnswerBody, empty, full, header_text};

/// Prefix of the token in the `authorization` header.
pub const BEARER: &str = "Bearer ";

/// Builds the response to a request for the metrics; status 401 when the request lacks the token.
pub fn metrics_response<B>(
    req: &Request<B>,
    token: &Secret,
    metrics: &Metrics,
) -> Response<AnswerBody> {
    if is_authorized(req, token) {
        return Response::new(full(metrics.scrape()));
    }
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    response
}

/// True when the request carries the token.
pub fn is_authorized<B>(req: &Request<B>, token: &Secret) -> bool {
    let header = header_text(req.headers(), AUTHORIZATION.as_str());
    let presented = header.and_then(|value| value.strip_prefix(BEARER));
    presented.is_some_and(|presented| token.matches(presented))
}
