//! Body that passes a stream on and watches for its end mark.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};

use crate::answer::EventScanner;
use crate::http::BodyError;

use super::attempt::AttemptGuard;

/// A stream from an endpoint on its way to an entry.
pub(super) struct Relay {
    body: Incoming,
    guard: AttemptGuard,
    scanner: EventScanner,
    is_started: bool,
}

impl Relay {
    /// Passes `body` on; `guard` is told how it ends.
    pub(super) fn new(body: Incoming, guard: AttemptGuard) -> Self {
        Self {
            body,
            guard,
            scanner: EventScanner::new(),
            is_started: false,
        }
    }

    fn pass(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        if let Some(data) = frame.data_ref() {
            self.scan(data);
        }
        frame
    }

    fn scan(&mut self, data: &Bytes) {
        if !self.is_started {
            self.is_started = true;
            self.guard.started();
        }
        self.scanner.scan(data);
        if self.scanner.is_ended() {
            self.guard.answered(self.scanner.events(), None);
        }
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.scanner.is_ended() {
            return None;
        }
        self.guard.broken(true);
        Some(Err(BodyError::NotWhole))
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        Pin::new(&mut this.body)
            .poll_frame(cx)
            .map(|frame| match frame {
                Some(Ok(frame)) => Some(Ok(this.pass(frame))),
                Some(Err(_)) | None => this.end(),
            })
    }
}
