//! Sites and callers for the quickstart, the measurements and the process tests.
//!
//! [`Site`] starts fakes of the platform and its engines, as well as entries and agents. All of
//! them run in the calling process and listen on loopback addresses:
//!
//! ```ignore
//! let site = Site::builder().zones(3).entries(2).models(8).services(1).start().await?;
//! site.wait_ready(Duration::from_secs(20)).await?;
//! let caller = Caller::new();
//! let outcome = caller.chat(site.entry_addrs()[0], &Chat::new("hello")).await;
//! ```
//!
//! [`Caller`] sends one request and checks its answer, [`Balancer`] chooses among the ready
//! entries, and [`run_load`] sends requests at a given rate, however fast they are answered.

// Each program that includes this module uses only a part of it.
#![allow(dead_code, unused_imports)]

mod balancer;
mod builder;
mod caller;
mod delay_proxy;
mod load;
mod outcome;
mod site;

pub use balancer::Balancer;
pub use builder::SiteBuilder;
pub use caller::{Caller, Chat, ServiceCall};
pub use delay_proxy::DelayProxy;
pub use load::{Load, LoadRequest, Tally, run_load};
pub use outcome::{Answer, Outcome, Refused};
pub use site::{ModelEndpoint, ServiceEndpoint, Site, SiteEntry};

/// Name of the model that serves the classes `chat` and `batch`.
pub const MODEL: &str = "lm";
/// Name of the plain service that serves the classes `booking`, which requires an
/// idempotency key, and `lookup`, which does not.
pub const SERVICE: &str = "booking";
/// Token that authenticates control calls between the entries and agents of a site.
pub const TOKEN: &str = "a-token-for-tests-only";
