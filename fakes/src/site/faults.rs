//! Injected faults of a back end.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::raw::{ConnectionEnd, Flood, RawAnswer};
use crate::reply::{Body, answer};

/// Injected faults of a back end, which a test can change at any time.
#[derive(Clone, Debug, Default)]
pub struct SiteEngineFaults {
    /// Id of the last event that streams send whole; they break in the middle of the next one. Ids
    /// count from 1 and go on in resumed streams, so one resumed after this event sends none whole.
    pub break_after: Option<u64>,
    /// True while requests are refused before they run, which a `not-executed` header reports.
    pub shed_requests: bool,
    /// True while requests run, but the connection is closed without an answer.
    pub lose_answers: bool,
    /// True while answers carry the id of another request.
    pub wrong_request_ids: bool,
    /// True while answers have no `server-stamp` header.
    pub unsigned: bool,
    /// Id of the last event that streams send; after it they stall without ending.
    pub silent_after: Option<u64>,
    /// Time after which stalled streams go on. A plain service is silent for so long in the middle of
    /// its answer.
    pub silent_for: Option<Duration>,
    /// Time for which the process is silent before the head of an answer.
    pub silent_before_head: Duration,
    /// Prompt part, as in the `prompt-prefix` header, that crashes the process when it begins to
    /// answer a request with it; the last part of a request has no such effect.
    pub crash_on_part: Option<String>,
    /// Body of a request that crashes the process when it begins to answer it.
    pub crash_on_body: Option<Bytes>,
    /// Time for which a request waits before it begins to run. One whose connection closes meanwhile is
    /// dropped.
    pub queue_time: Option<Duration>,
    /// Time from a crash to the start of the next process.
    pub restart_time: Option<Duration>,
    /// Requests a second that the process takes from all entries together, as its answers name them
    /// in `server-limit`. It takes more all the same.
    pub limit: Option<String>,
    /// True while reports name the limit too.
    pub limit_in_reports: bool,
    /// Value of `retry-after` in the refusals of `shed_requests`: the time in seconds for which the
    /// process wants no further request from that entry.
    pub rest: Option<String>,
    /// True while those refusals leave out `not-executed`.
    pub unmarked_refusals: bool,
    /// True while answers to requests say that the process is leaving. It takes requests all the same.
    pub leaving: bool,
    /// True while reports say so.
    pub leaving_in_reports: bool,
    /// When set, answers have neither a length nor chunks and end with their connection. A reset
    /// one has half of its body, or as many events as `break_after` says and no part of the next.
    pub without_length: Option<ConnectionEnd>,
    /// What callers' requests are answered with once they have run.
    pub raw: Option<RawAnswer>,
    /// Bytes that callers' requests are answered with.
    pub flood: Option<Flood>,
    /// Bytes that the report, orders and reads from the staging area are answered with.
    pub admin_flood: Option<Flood>,
}

impl SiteEngineFaults {
    /// Adds what the process says of itself to an answer to a request.
    pub(super) fn describe_process(&self, answer: &mut Response<Body>) {
        self.name_limit(answer);
        if self.leaving {
            name_leaving(answer);
        }
    }

    /// Adds what the process says of itself to a report.
    pub(super) fn describe_process_in_report(&self, report: &mut Response<Body>) {
        if self.limit_in_reports {
            self.name_limit(report);
        }
        if self.leaving_in_reports {
            name_leaving(report);
        }
    }

    /// A refusal that says that the request has not run.
    pub(super) fn refusal(&self) -> Response<Body> {
        let mut refusal = answer(StatusCode::SERVICE_UNAVAILABLE, "");
        let headers = refusal.headers_mut();
        if !self.unmarked_refusals {
            headers.insert("not-executed", HeaderValue::from_static("1"));
        }
        let rest = self.rest.as_ref().and_then(|rest| rest.parse().ok());
        if let Some(rest) = rest {
            headers.insert(RETRY_AFTER, rest);
        }
        self.describe_process(&mut refusal);
        refusal
    }

    fn name_limit(&self, answer: &mut Response<Body>) {
        let limit = self.limit.as_ref().and_then(|limit| limit.parse().ok());
        if let Some(limit) = limit {
            answer.headers_mut().insert("server-limit", limit);
        }
    }
}

fn name_leaving(answer: &mut Response<Body>) {
    let headers = answer.headers_mut();
    headers.insert("server-leaving", HeaderValue::from_static("1"));
}
