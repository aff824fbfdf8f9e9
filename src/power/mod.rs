//! Power model of endpoints, and the division of the site's power cap among them.

mod grant;
mod model;

#[cfg(test)]
mod tests;

pub use grant::{EndpointPower, Grant, Grants, divide_power};
pub use model::PowerModel;
