//! Checks the token of control connections.

use std::future::{Ready, ready};
use std::task::{Context, Poll};

use futures_util::future::Either;
use hyper::{Request, Response, StatusCode};
use tower::{Layer, Service};

use crate::http::{BEARER, is_authorized};
use crate::settings::Secret;

/// Middleware layer that answers 401 to requests without the token.
#[derive(Clone, Debug)]
pub(super) struct AccessLayer {
    token: Secret,
}

/// Service that checks the token before it calls `inner`.
#[derive(Clone, Debug)]
pub(super) struct AccessService<S> {
    inner: S,
    token: Secret,
}

impl AccessLayer {
    /// Creates a layer that requires `token`.
    pub(super) fn new(token: Secret) -> Self {
        Self { token }
    }
}

impl<S> Layer<S> for AccessLayer {
    type Service = AccessService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        AccessService {
            inner,
            token: self.token.clone(),
        }
    }
}

impl<S, B, R> Service<Request<B>> for AccessService<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    R: Default,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = Either<S::Future, Ready<Result<S::Response, S::Error>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Request<B>) -> Self::Future {
        if is_authorized(&req, &self.token) {
            return Either::Left(self.inner.call(req));
        }
        let mut response = Response::new(R::default());
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        Either::Right(ready(Ok(response)))
    }
}

/// Value of the `authorization` header for a token.
pub(super) fn bearer(token: &Secret) -> String {
    format!("{BEARER}{}", token.expose())
}
