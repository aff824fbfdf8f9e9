//! HTTP code shared by entries and agents: listener, client, bodies, headers and refusals.

mod activity;
mod body;
mod body_budget;
mod client;
mod connect;
mod connection;
mod head_timer;
mod headers;
mod interim;
mod listener;
mod metrics;
mod read;
mod read_ahead;
mod refusal;
#[cfg(test)]
pub(crate) mod tests;
mod unframed;
mod write_timeout;

pub use activity::BodyArrival;
pub use body::{AnswerBody, BodyError, BodySender, channel, empty, full};
pub use body_budget::BodyBudget;
pub use client::{TrafficClient, endpoint_client, traffic_client};
pub use connect::connect;
pub use headers::{header_number, header_text, is_final_status, is_readable_answer, names};
pub use interim::{MAX_ANSWER_HEAD_BYTES, too_many_interim_answers};
pub use listener::{Listener, ListenerLimits};
pub use metrics::{BEARER, is_authorized, metrics_response};
pub use read::{
    BodyLimits, CollectError, collect_arriving, collect_bounded, discard_body, read_body,
    refuse_body,
};
pub use refusal::{RefusalBody, refusal_response};
