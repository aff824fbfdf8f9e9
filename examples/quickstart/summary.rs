//! Summary of the run and its exit code.

use std::process::ExitCode;
use std::time::Duration;

use super::common::{Outcome, Tally};

/// Maximum number of errors of lost requests and wrong answers that are printed.
const MAX_PRINTED_ERRORS: usize = 5;

/// Results of the run.
pub struct Summary {
    /// Time from the start of the rollout until all engines were ready, for v1 and v2.
    pub ready_after: [Duration; 2],
    /// Bytes sent by the origin and the weight store, as a multiple of the size of the weights, for
    /// v1 and v2.
    pub weight_copies: [f64; 2],
    /// Outcomes of the chat requests.
    pub tally: Tally,
    /// Outcomes of the booking and of its repetition.
    pub booking: [Outcome; 2],
    /// Number of times that the booking took effect.
    pub booking_runs: u64,
    /// Number of idempotency keys whose request took effect more than once.
    pub duplicated_keys: u64,
    /// Requests during which the engine changed its version.
    pub mixed_version_requests: u64,
    /// Requests served with weights that differ from the published ones.
    pub corrupt_weight_requests: u64,
    /// Duration of the run.
    pub elapsed: Duration,
}

impl Summary {
    /// Prints the summary. Returns success if there were answers, no request was lost or answered
    /// wrongly, none ran on mixed versions or corrupt weights, and the booking was answered both
    /// times but took effect once; no other idempotency key may have taken effect twice.
    pub fn finish(&self) -> ExitCode {
        let tally = &self.tally;
        println!();
        for (name, index) in [("v1", 0), ("v2", 1)] {
            println!(
                "{name}: all engines ready after {:.1} s, {:.2} copies from the origin",
                self.ready_after[index].as_secs_f64(),
                self.weight_copies[index],
            );
        }
        println!(
            "requests: {} sent, {} answered, {} refused {:?}, {} lost, {} wrong",
            tally.sent,
            tally.answered,
            tally.refusals(),
            tally.refused,
            tally.lost.len(),
            tally.wrong.len(),
        );
        println!(
            "first token: p50 {:.1} ms, p95 {:.1} ms",
            tally.first_token_ms(0.5),
            tally.first_token_ms(0.95),
        );
        println!(
            "booking: took effect {} time(s); keys that took effect more than once: {}",
            self.booking_runs, self.duplicated_keys
        );
        println!(
            "engines: {} requests during a change of version, {} on corrupt weights",
            self.mixed_version_requests, self.corrupt_weight_requests
        );
        for error in tally
            .lost
            .iter()
            .chain(&tally.wrong)
            .take(MAX_PRINTED_ERRORS)
        {
            println!("  {error}");
        }
        println!("took {:.1} s", self.elapsed.as_secs_f64());
        if self.is_success() {
            println!("no requests lost, no versions mixed, no bookings duplicated");
            ExitCode::SUCCESS
        } else {
            println!("FAILED");
            ExitCode::FAILURE
        }
    }

    fn is_success(&self) -> bool {
        let is_booked = self
            .booking
            .iter()
            .all(|outcome| outcome.answer().is_some());
        let is_complete = self.tally.lost.is_empty() && self.tally.wrong.is_empty();
        let is_booked_once = self.booking_runs == 1 && self.duplicated_keys == 0;
        let is_consistent = self.mixed_version_requests == 0 && self.corrupt_weight_requests == 0;
        is_booked && is_complete && is_booked_once && is_consistent && self.tally.answered > 0
    }
}
