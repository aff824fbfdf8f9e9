//! Body that passes a stream on and watches for its version and its end mark.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};

use crate::answer::{EventCheck, EventScanner, EventSplitter};
use crate::http::BodyError;

use super::attempt::AttemptGuard;

/// A stream from an endpoint on its way to an entry; passes whole events of the pinned version.
pub(super) struct Relay {
    body: Incoming,
    guard: AttemptGuard,
    /// Absent for a plain service, whose events name no version.
    check: Option<EventCheck>,
    splitter: EventSplitter,
    scanner: EventScanner,
    is_started: bool,
    /// Events that were read before the head of the answer was sent.
    held: Option<Bytes>,
}

impl Relay {
    /// Passes `body` on; `guard` is told how it ends.
    pub(super) fn new(body: Incoming, check: Option<EventCheck>, guard: AttemptGuard) -> Self {
        Self {
            body,
            guard,
            check,
            splitter: EventSplitter::default(),
            scanner: EventScanner::new(),
            is_started: false,
            held: None,
        }
    }

    /// Waits for the first events, so that an answer that breaks off before them can still be
    /// refused with a code.
    ///
    /// # Errors
    ///
    /// The stream ended before its first event.
    pub(super) async fn wait_first(&mut self) -> Result<(), BodyError> {
        if let Some(frame) = self.frame().await {
            self.held = frame?.into_data().ok();
        }
        Ok(())
    }

    fn pass(&mut self, frame: Frame<Bytes>) -> Result<Bytes, BodyError> {
        let data = frame.into_data().unwrap_or_default();
        let Ok(events) = self.splitter.push(data) else {
            return Err(self.cut());
        };
        let passes = self
            .check
            .as_ref()
            .is_none_or(|check| check.passes_events(&events));
        if !passes {
            return Err(self.cut());
        }
        self.scan(&events);
        Ok(events)
    }

    fn scan(&mut self, events: &Bytes) {
        if !self.is_started && !events.is_empty() {
            self.is_started = true;
            self.guard.started();
        }
        self.scanner.scan(events);
        if self.scanner.is_ended() {
            self.guard.answered(self.scanner.events(), None);
        }
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        match self.scanner.is_ended() {
            true => None,
            false => Some(Err(self.cut())),
        }
    }

    fn cut(&mut self) -> BodyError {
        self.guard.broken(true);
        BodyError::Incomplete
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
        if let Some(events) = this.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(events))));
        }
        loop {
            return match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
                Some(Ok(frame)) => match this.pass(frame) {
                    Ok(events) if events.is_empty() => continue,
                    passed => Poll::Ready(Some(passed.map(Frame::data))),
                },
                Some(Err(_)) | None => Poll::Ready(this.end()),
            };
        }
    }
}
