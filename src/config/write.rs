//! Conditional write of the configuration, as a sans-IO state machine.
//!
//! The write names the version that it replaces. Repeating it after a lost answer therefore cannot
//! take effect twice and cannot overwrite a concurrent write. After a conflict the object is read
//! back to find out which write took effect: each body lists the ids of its last writers.

use std::sync::Arc;

use crate::clients::{Object, PlatformError};
use crate::types::Generation;

use super::Body;

/// Maximum number of calls for one write.
const MAX_CALLS: u32 = 20;

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect as this generation.
    Accepted(Generation),
    /// It took effect and has since been replaced by this object.
    Replaced(Object),
    /// A concurrent write came first; nothing was written.
    RaceLost(Object),
    /// The object API refused the write or stayed unavailable; nothing was written.
    Refused(PlatformError),
    /// It is not known whether the write took effect.
    Unsettled(PlatformError),
}

/// Next call of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCall {
    /// Write the value if the object still has the base version.
    Put,
    /// Read the object.
    Get,
}

/// A write in progress.
#[derive(Clone, Debug)]
pub struct Write {
    writer: Arc<str>,
    base: Generation,
    next: WriteCall,
    calls: u32,
    /// True once the answer to a put was lost, so that it may have taken effect.
    ///
    /// Invariant: never returns to false.
    may_have_written: bool,
}

impl Write {
    /// Starts a write by `writer`, a unique id, that replaces version `base`; 0 if there is no
    /// object yet.
    pub fn new(writer: Arc<str>, base: Generation) -> Self {
        Self {
            writer,
            base,
            next: WriteCall::Put,
            calls: 0,
            may_have_written: false,
        }
    }

    /// Returns the call to make next.
    pub fn next(&self) -> WriteCall {
        self.next
    }

    /// Handles the answer to a put; returns `None` if another call is needed.
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
                return self.stop_if_exhausted(e);
            }
        }
        None
    }

    /// Handles the answer to a read; returns `None` if another call is needed.
    pub fn handle_get_reply(
        &mut self,
        answer: Result<Option<Object>, PlatformError>,
    ) -> Option<WriteOutcome> {
        self.calls += 1;
        match answer {
            Ok(Some(object)) if object.version > self.base => Some(self.resolve(object)),
            Ok(_) => {
                // The preceding conflict proves that there is a newer object: the read is stale.
                self.stop_if_exhausted(PlatformError::Lost("stale read".to_owned()))
            }
            Err(e) => self.stop_if_exhausted(e),
        }
    }

    /// Finds out from a newer object whether the own write took effect.
    fn resolve(&self, object: Object) -> WriteOutcome {
        let writers = Body::parse(&object.value).map_or_else(|_| Vec::new(), |body| body.writers);
        match writers.iter().position(|writer| *writer == self.writer) {
            Some(0) => WriteOutcome::Accepted(object.version),
            Some(_) => WriteOutcome::Replaced(object),
            None if self.may_be_unlisted(&writers) => {
                let detail = format!(
                    "generation {} no longer lists the earlier writers",
                    object.version
                );
                WriteOutcome::Unsettled(PlatformError::Lost(detail))
            }
            None => WriteOutcome::RaceLost(object),
        }
    }

    /// True if this write may have taken effect so many writes ago that it is no longer listed.
    fn may_be_unlisted(&self, writers: &[Arc<str>]) -> bool {
        let lists_all = !writers.is_empty() && writers.len() < Body::MAX_WRITERS;
        self.may_have_written && !lists_all
    }

    /// Ends the write once it has made [`MAX_CALLS`] calls.
    fn stop_if_exhausted(&self, e: PlatformError) -> Option<WriteOutcome> {
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
