//! Stand-in for the operators' platform: metadata store, engines, plain services, weight origin.
//!
//! It speaks the platform's published protocol on loopback addresses, so that the real processes
//! run against it with the settings that the platform would hand out.

mod engine;
mod origin;
mod store;

pub use engine::{SiteEngine, SiteEngineFaults, SiteEngineKind, SiteRun};
pub use origin::{SiteOrigin, piece};
pub use store::SiteStore;
