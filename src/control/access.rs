//! Check of the token that a control connection must present.

use std::future::{Ready, ready};
use std::task::{Context, Poll};

use futures_util::future::Either;
use hyper::{Request, Response, StatusCode};
use tower::{Layer, Service};

use crate::http::{BEARER, is_authorized};
use crate::settings::Secret;

/// Layer that answers 401 to a connection without the token.
#[derive(Clone, Debug)]
pub(super) struct AccessLayer {
    token: Secret,
}

/// Service behind [`AccessLayer`].
#[derive(Clone, Debug)]
pub(super) struct Access<S> {
    inner: S,
    token: Secret,
}

impl AccessLayer {
    /// A layer that asks for `token`.
    pub(super) fn new(token: Secret) -> Self {
        Self { token }
    }
}

impl<S> Layer<S> for AccessLayer {
    type Service = Access<S>;

    fn layer(&self, inner: S) -> Self::Service {
        Access {
            inner,
            token: self.token.clone(),
        }
    }
}

impl<S, B, R> Service<Request<B>> for Access<S>
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
