//! Draw of endpoints and the shares of the site's cap that they may use.

mod grant;
mod model;

#[cfg(test)]
mod tests;

pub use grant::{EndpointPower, Grant, Grants, divide_power};
pub use model::PowerModel;
