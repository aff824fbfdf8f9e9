//! Conditional write of the configuration, free of sockets and clocks.
//!
//! The write names the version that it replaces, so repeating it after a lost answer can neither
//! happen twice nor overwrite a rival. Whose write took effect is read back: each body carries the
//! marks of its last writers.

use std::sync::Arc;

use crate::clients::{Object, PlatformError};
use crate::types::Generation;

use super::Body;

/// Calls that one write makes at most.
const MAX_CALLS: u32 = 20;

/// How a write ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect as this generation.
    Accepted(Generation),
    /// It took effect, and was replaced by this later object.
    Replaced(Object),
    /// A rival's write came first; nothing was written.
    RaceLost(Object),
    /// The object API refused; nothing was written.
    Refused(PlatformError),
    /// Whether it took effect is not known.
    Unsettled(PlatformError),
}

/// The call that a write makes next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCall {
    /// Write the value when the object has the base version.
    Put,
    /// Read the object.
    Get,
}

/// One write under way.
#[derive(Clone, Debug)]
pub struct Write {
    mark: Arc<str>,
    base: Generation,
    next: WriteCall,
    calls: u32,
    /// True when an answer to a put was lost, so that it may have taken effect.
    ///
    /// Invariant: never goes back to false.
    may_have_written: bool,
}

impl Write {
    /// Starts a write under `mark` that replaces version `base`; 0 when there is no object.
    pub fn new(mark: Arc<str>, base: Generation) -> Self {
        Self {
            mark,
            base,
            next: WriteCall::Put,
            calls: 0,
            may_have_written: false,
        }
    }

    /// The call to make.
    pub fn next(&self) -> WriteCall {
        self.next
    }

    /// Takes in the answer to a put; `None` when another call is needed.
    pub fn handle_put_reply(
        &mut self,
        answer: Result<Generation, PlatformError>,
    ) -> Option<WriteOutcome> {
        self.calls += 1;
        match answer {
            Ok(generation) => return Some(WriteOutcome::Accepted(generation)),
            Err(PlatformError::Conflict { .. }) => self.next = WriteCall::Get,
            Err(e) => {
                self.may_have_written |= !e.is_without_effect();
                return self.give_up_after(e);
            }
        }
        None
    }

    /// Takes in the answer to a read; `None` when another call is needed.
    pub fn handle_get_reply(
        &mut self,
        answer: Result<Option<Object>, PlatformError>,
    ) -> Option<WriteOutcome> {
        self.calls += 1;
        match answer {
            Ok(Some(object)) if object.version > self.base => Some(self.settle(object)),
            Ok(_) => {
                // The conflict proves a newer object than this stale read shows.
                self.give_up_after(PlatformError::Lost("stale read".to_owned()))
            }
            Err(e) => self.give_up_after(e),
        }
    }

    fn settle(&self, object: Object) -> WriteOutcome {
        let writers = Body::parse(&object.value).map_or_else(|_| Vec::new(), |body| body.writers);
        match writers.iter().position(|writer| *writer == self.mark) {
            Some(0) => WriteOutcome::Accepted(object.version),
            Some(_) => WriteOutcome::Replaced(object),
            None if self.may_be_forgotten(&writers) => {
                let detail = format!("generation {} hides earlier writers", object.version);
                WriteOutcome::Unsettled(PlatformError::Lost(detail))
            }
            None => WriteOutcome::RaceLost(object),
        }
    }

    /// True when this write may have taken effect so many writes ago that its mark is gone.
    fn may_be_forgotten(&self, writers: &[Arc<str>]) -> bool {
        let all_named = !writers.is_empty() && writers.len() < Body::MAX_WRITERS;
        self.may_have_written && !all_named
    }

    fn give_up_after(&self, e: PlatformError) -> Option<WriteOutcome> {
        if self.calls < MAX_CALLS {
            return None;
        }
        if self.may_have_written {
            Some(WriteOutcome::Unsettled(e))
        } else {
            Some(WriteOutcome::Refused(e))
        }
    }
}
