//! Delivery of requests: attempts and their budget, at most once for keyed work, and quarantine of
//! harmful requests.

mod attempts;
mod budget;
mod call;
pub mod claim;
mod ledger;
mod quarantine;

#[cfg(test)]
mod tests;

pub use attempts::{AttemptRules, Attempts, Stop};
pub use budget::{RetryLimit, RetryWindow};
pub use call::{StoreCall, StoreReply};
pub use claim::{Choice, Claim, ClaimStep, Operation};
pub use ledger::{Ledger, Verdict};
pub use quarantine::{Quarantine, Standing};

use std::time::Duration;

/// Time for which the outcome of a keyed request is kept; a key may not be sent again later.
pub const KEY_HORIZON: Duration = Duration::from_secs(24 * 60 * 60);
