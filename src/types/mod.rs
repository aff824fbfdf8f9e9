//! Identifiers and values shared by several modules.

mod change_time;
mod request;
mod store_position;
#[cfg(test)]
mod tests;

use std::sync::Arc;

pub use change_time::{ChangeAge, ChangeTime};
pub use request::{EntryAttemptOutcome, Refusal, RequestMeta};
pub use store_position::StorePosition;

/// Name of a host.
pub type HostId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Name of an endpoint, unique in the fleet.
pub type EndpointId = Arc<str>;
/// Name of a customer.
pub type CustomerId = Arc<str>;
/// Name of a class of work.
pub type ClassId = Arc<str>;
/// Name of a model or plain service that serves a class of work.
pub type TargetId = Arc<str>;
/// Name of an entry process.
pub type EntryId = Arc<str>;
/// Number of a request, unique within the entry that received it.
pub type RequestId = u64;
/// Name of an attempt, unique across entries and their restarts.
pub type AttemptId = Arc<str>;
/// Random number that a process chooses when it starts; identifies its incarnation.
pub type InstanceId = u64;
/// Version of an object in the object API; increases with every write.
pub type Generation = u64;
/// Hexadecimal BLAKE3 digest of a manifest, of a chunk or of a request body.
pub type Digest = Arc<str>;
/// Identifier of a prompt segment that requests share.
pub type PromptPart = u64;
/// Idempotency key chosen by a caller.
pub type Key = Arc<str>;
/// Power in milliwatts.
pub type Milliwatts = u64;
/// Energy in millijoules.
pub type Millijoules = u64;
