//! Log lines for the notices of the dispatcher.

use crate::delivery::Suspect;
use crate::dispatch::Notice;
use crate::log_fields;
use crate::telemetry::{EndpointSignal, Event, Metrics};
use crate::types::PromptPart;

/// Logs a notice.
pub(super) fn log_notice(notice: &Notice) {
    match notice {
        Notice::EndpointCrashed {
            endpoint,
            incarnation,
            attempts,
            sign,
        } => log_fields!(Event::EndpointCrashed, {
            endpoint: &**endpoint,
            incarnation: incarnation,
            attempts: attempts,
            sign: format!("{sign:?}")
        }),
        Notice::LimitChanged {
            endpoint,
            incarnation,
            limit,
            source,
            entries,
        } => log_fields!(Event::EndpointLimit, {
            endpoint: &**endpoint,
            incarnation: incarnation,
            limit: limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string()),
            source: format!("{source:?}"),
            entries: entries
        }),
        Notice::LimitInvalid {
            endpoint,
            text,
            source,
        } => log_fields!(Event::EndpointLimitInvalid, {
            endpoint: &**endpoint,
            named: &**text,
            source: format!("{source:?}")
        }),
        Notice::RestBegan {
            endpoint,
            incarnation,
            named,
            kept,
        } => log_fields!(Event::EndpointRests, {
            endpoint: &**endpoint,
            incarnation: incarnation,
            named_ms: u64::try_from(named.as_millis()).unwrap_or(u64::MAX),
            kept_ms: kept.as_millis() as u64
        }),
        Notice::RestEnded {
            endpoint,
            incarnation,
            answers,
        } => log_fields!(Event::EndpointRestEnded, {
            endpoint: &**endpoint,
            incarnation: incarnation,
            answers: answers
        }),
        Notice::RestInvalid { endpoint, text } => log_fields!(Event::EndpointRestInvalid, {
            endpoint: &**endpoint,
            named: &**text
        }),
        Notice::LeavingAnnounced {
            endpoint,
            incarnation,
            source,
        } => log_fields!(Event::EndpointLeaving, {
            endpoint: &**endpoint,
            incarnation: incarnation,
            source: format!("{source:?}")
        }),
        Notice::BlameChanged { change, source } => {
            let event = match change.is_blamed {
                true => Event::SuspectBlamed,
                false => Event::SuspectReleased,
            };
            let parts: Vec<_> = change.suspects.iter().filter_map(|s| s.part()).collect();
            let digests = change.suspects.iter().filter_map(|suspect| match suspect {
                Suspect::Request(digest) => Some(digest_text(*digest)),
                Suspect::Part(_) => None,
            });
            log_fields!(event, {
                prompt_parts: prompt_parts_text(&parts),
                digests: digests.collect::<Vec<_>>().join(","),
                crashes: change.crashes,
                source: format!("{source:?}")
            });
        }
    }
}

/// Counts what an endpoint asks of its entries.
pub(super) fn count_notice(metrics: &Metrics, notice: &Notice) {
    let signal = match notice {
        Notice::RestBegan { .. } => EndpointSignal::Rest,
        Notice::LeavingAnnounced { .. } => EndpointSignal::Leaving,
        _ => return,
    };
    metrics.count_endpoint_signal(signal);
}

/// Prompt parts as they are written to the log.
pub(super) fn prompt_parts_text<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> String {
    let parts: Vec<_> = parts.into_iter().map(|part| format!("{part:x}")).collect();
    parts.join(",")
}

/// Digest of a request as it is written to the log; equal for all copies of the request.
pub(super) fn digest_text(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
