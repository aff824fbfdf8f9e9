//! Builders that quickstart, measurements and process tests share.
//!
//! [`Site`] starts the stand-ins and, in the same process, entries and agents on loopback:
//!
//! ```ignore
//! let site = Site::builder().zones(3).entries(2).models(8).services(1).start().await?;
//! site.wait_ready(Duration::from_secs(20)).await?;
//! let caller = Caller::new();
//! let outcome = caller.chat(site.entry_addrs()[0], &Chat::new("hello")).await;
//! ```
//!
//! [`Caller`] sends one request and checks its answer, [`Balancer`] chooses an entry by its
//! readiness, and [`run_load`] sends requests at a given rate, whatever the answers do.

// Each includer uses a part of this module.
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

/// Model that the classes `chat` and `batch` use.
pub const MODEL: &str = "lm";
/// Plain service that the classes `booking` (keyed) and `lookup` use.
pub const SERVICE: &str = "booking";
/// Token of control calls between the processes of a site.
pub const TOKEN: &str = "a-token-for-tests-only";
