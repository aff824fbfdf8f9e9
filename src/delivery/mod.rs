//! Delivery guarantees: the retry budget, at-most-once execution of keyed requests, and quarantine
//! of requests and prompt parts that crash endpoints.

mod attempts;
mod budget;
mod call;
pub mod claim;
mod ledger;
mod quarantine;
mod suspects;

#[cfg(test)]
mod tests;

pub use attempts::{AttemptRules, Attempts, RetryDenied};
pub use budget::{RetryLimit, RetryWindow};
pub use call::{StoreCall, StoreReply};
pub use claim::{ChosenAttempt, Claim, ClaimStep, KeyedRequest};
pub use ledger::{Ledger, OfferDecision};
pub use quarantine::{Quarantine, QuarantineStatus};
pub use suspects::{BlameChange, Blamed, Suspect, SuspectCrash, Suspects};

use std::time::Duration;

/// Time for which the outcome of a keyed request is kept. An older key is refused, because nothing
/// would stop it from running again.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
