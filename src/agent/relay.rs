//! Response body that forwards a stream of events and checks its version and its end marker.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};

use crate::answer::{EventCheck, EventScanner, EventSplitter};
use crate::http::BodyError;

use super::attempt::AttemptGuard;

/// Forwards a stream from an endpoint to an entry; only complete events of the pinned version pass.
pub(super) struct Relay {
    body: Incoming,
    guard: AttemptGuard,
    /// Version check; absent for a plain service, whose events name no version.
    check: Option<EventCheck>,
    splitter: EventSplitter,
    scanner: EventScanner,
    is_started: bool,
    /// Events that were read before the head of the answer was sent.
    buffered: Option<Bytes>,
}

impl Relay {
    /// Creates the relay of `body`, which reports the outcome to `guard`.
    pub(super) fn new(body: Incoming, check: Option<EventCheck>, guard: AttemptGuard) -> Self {
        Self {
            body,
            guard,
            check,
            splitter: EventSplitter::default(),
            scanner: EventScanner::new(),
            is_started: false,
            buffered: None,
        }
    }

    /// Waits for the first events, so that an answer that breaks off before them can still be
    /// refused with an error code.
    ///
    /// # Errors
    ///
    /// Fails when the stream broke off or failed its check before its first event.
    pub(super) async fn wait_for_first_events(&mut self) -> Result<(), BodyError> {
        if let Some(frame) = self.frame().await {
            self.buffered = frame?.into_data().ok();
        }
        Ok(())
    }

    /// Checks a frame and returns the complete events in it; an error fails the attempt.
    fn check_frame(&mut self, frame: Frame<Bytes>) -> Result<Bytes, BodyError> {
        let data = frame.into_data().unwrap_or_default();
        let Ok(events) = self.splitter.push(data) else {
            return Err(self.fail());
        };
        let passes = self
            .check
            .as_ref()
            .is_none_or(|check| check.passes_events(&events));
        if !passes {
            return Err(self.fail());
        }
        self.scan(&events);
        Ok(events)
    }

    /// Reports the first event and the end marker.
    fn scan(&mut self, events: &Bytes) {
        if !self.is_started && !events.is_empty() {
            self.is_started = true;
            self.guard.report_started();
        }
        self.scanner.scan(events);
        if self.scanner.is_ended() {
            self.guard.report_answered(self.scanner.events(), None);
        }
    }

    /// Handles the end of the endpoint's body, which is an error without an end marker.
    fn on_body_end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        match self.scanner.is_ended() {
            true => None,
            false => Some(Err(self.fail())),
        }
    }

    /// Reports the failure of the attempt.
    fn fail(&mut self) -> BodyError {
        self.guard.report_broken(true);
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
        if let Some(events) = this.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(events))));
        }
        loop {
            return match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
                Some(Ok(frame)) => match this.check_frame(frame) {
                    Ok(events) if events.is_empty() => continue,
                    checked => Poll::Ready(Some(checked.map(Frame::data))),
                },
                Some(Err(_)) | None => Poll::Ready(this.on_body_end()),
            };
        }
    }
}
