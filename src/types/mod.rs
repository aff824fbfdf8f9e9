//! Identifiers and values that several modules share.

mod request;

use std::sync::Arc;

pub use request::{EntryAttemptOutcome, Refusal, RequestMeta};

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
/// Name of a model or of a plain service; what a class of work is served by.
pub type TargetId = Arc<str>;
/// Name of an entry process.
pub type EntryId = Arc<str>;
/// Number of a request within the entry that received it.
pub type RequestId = u64;
/// Name of one attempt, unique across entries and their restarts.
pub type AttemptId = Arc<str>;
/// Number that a process draws at random when it starts.
pub type InstanceId = u64;
/// Version of an object in the object API; grows with every write.
pub type Generation = u64;
/// Hexadecimal BLAKE3 digest of a manifest, of a chunk or of a request body.
pub type Digest = Arc<str>;
/// Idempotency key that a caller chose.
pub type Key = Arc<str>;
/// Power in milliwatts.
pub type Milliwatts = u64;
/// Energy in millijoules.
pub type Millijoules = u64;
