//! Numbered log events. `docs/EVENTS.md` lists them for operators.

#[rustfmt::skip]
mod generated;

pub use generated::Event;

impl Event {
    /// Number of the event.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Logs a numbered event, followed by a formatted detail.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($detail:tt)+) => {{
        let event: $crate::telemetry::Event = $event;
        log::log!(event.level(), event = event.number(); "{event}: {}", format_args!($($detail)+));
    }};
}

/// Logs a numbered event with named fields, so that log lines can be searched by field.
#[macro_export]
macro_rules! log_fields {
    ($event:expr, { $($key:ident : $value:expr),* $(,)? }) => {{
        let event: $crate::telemetry::Event = $event;
        log::log!(
            event.level(),
            event = event.number(),
            $($key:serde = $value),*;
            "{event}"
        );
    }};
}
