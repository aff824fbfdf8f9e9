//! Stand-ins for the operators' platform: metadata store, engines, plain services, weight origin.
//!
//! They speak the protocol published by the platform's operators on loopback addresses, so that the
//! limpetloom processes run against them with the settings that the platform would give them.

mod engine;
mod faults;
mod origin;
mod run;
mod store;

pub use engine::{SiteEngine, SiteEngineKind};
pub use faults::SiteEngineFaults;
pub use origin::{SiteOrigin, piece};
pub use run::SiteRun;
pub use store::{SiteStore, Withheld};
