//! Answer to a scrape of the metrics.

use hyper::header::AUTHORIZATION;
use hyper::{Request, Response, StatusCode};

use crate::settings::Secret;
use crate::telemetry::Metrics;

use super::{AnswerBody, empty, full, header_text};

/// Scheme of the `authorization` header.
pub const BEARER: &str = "Bearer ";

/// Answers a scrape by a holder of the token, 401 to others.
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

/// True when the request presents the token.
pub fn is_authorized<B>(req: &Request<B>, token: &Secret) -> bool {
    let presented = header_text(req.headers(), AUTHORIZATION.as_str());
    let offered = presented.and_then(|value| value.strip_prefix(BEARER));
    offered.is_some_and(|offered| token.matches(offered))
}
