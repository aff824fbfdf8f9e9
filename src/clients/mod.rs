//! Clients of the object API, the host list, the weight store, the origin and the endpoints.
//!
//! Each client implements a narrow trait, so that tests can substitute another implementation.
//! `docs/design/shape.md` describes the protocols.

mod endpoint;
mod error;
mod explain;
mod hosts;
mod http;
mod json;
mod objects;
#[cfg(test)]
mod tests;
mod weights;
mod wire;

pub use endpoint::{EndpointAdmin, HttpEndpoint, JobState};
pub use error::PlatformError;
pub use explain::explain;
pub(crate) use explain::{EXPLAIN_PATH, parse_query};
pub use hosts::{HostList, HttpHostList};
pub use http::{ArrivalTimeouts, HeadArrival, HttpClient, HttpTimeouts};
pub(crate) use http::{escape, expect_ok};
pub(crate) use json::{Members, split_array};
pub use objects::{Change, HttpObjectApi, Object, ObjectApi};
pub use weights::{HttpWeightSource, WeightSource};
