//! Choice of an endpoint for a request.

mod endpoint;
mod policy;

pub use endpoint::Endpoint;
pub use policy::{Policy, choose};
