//! Draw of endpoints and the shares of the site's cap that they may use.

mod grant;
mod model;

#[cfg(test)]
mod tests;

pub use grant::{Grant, Grants, PowerFact, divide};
pub use model::PowerModel;
