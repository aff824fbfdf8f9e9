//! Draw of endpoints and the shares of the site's cap that they may use.

mod grant;
mod model;

pub use grant::{Grant, PlacementGrants};
pub use model::PowerModel;
