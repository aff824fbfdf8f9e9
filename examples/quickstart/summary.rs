//! Summary and verdict.

use std::process::ExitCode;
use std::time::Duration;

use super::common::{Outcome, Tally};

/// Lost and wrong answers that are printed in full.
const PRINTED: usize = 5;

/// What happened.
pub struct Summary {
    /// Time until all replicas were ready, for each version.
    pub ready: [Duration; 2],
    /// Copies drawn from origin and weight store, for each version.
    pub copies: [f64; 2],
    /// Streamed requests.
    pub tally: Tally,
    /// The booking, and the same booking again.
    pub booking: [Outcome; 2],
    /// How often the booking took effect.
    pub booking_runs: u64,
    /// Keys that took effect more than once.
    pub doubled: u64,
    /// Requests that ran while their engine changed its version.
    pub mixed: u64,
    /// Requests served with weights other than published.
    pub bad_weights: u64,
    /// Time that everything took.
    pub took: Duration,
}

impl Summary {
    /// Prints the summary; succeeds when nothing was lost, mixed or doubled.
    pub fn finish(&self) -> ExitCode {
        let tally = &self.tally;
        println!();
        for (name, index) in [("v1", 0), ("v2", 1)] {
            println!(
                "{name}: all replicas ready after {:.1} s, {:.2} copies from the origin",
                self.ready[index].as_secs_f64(),
                self.copies[index],
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
            "booking: took effect {} time(s); keys doubled: {}",
            self.booking_runs, self.doubled
        );
        println!(
            "engines: {} requests over a change of version, {} on bad weights",
            self.mixed, self.bad_weights
        );
        for what in tally.lost.iter().chain(&tally.wrong).take(PRINTED) {
            println!("  {what}");
        }
        println!("took {:.1} s", self.took.as_secs_f64());
        if self.is_clean() {
            println!("nothing lost, mixed or doubled");
            ExitCode::SUCCESS
        } else {
            println!("FAILED");
            ExitCode::FAILURE
        }
    }

    fn is_clean(&self) -> bool {
        let is_booked = self
            .booking
            .iter()
            .all(|outcome| outcome.answer().is_some());
        let is_whole = self.tally.lost.is_empty() && self.tally.wrong.is_empty();
        let is_once = self.booking_runs == 1 && self.doubled == 0;
        let is_one_version = self.mixed == 0 && self.bad_weights == 0;
        is_booked && is_whole && is_once && is_one_version && self.tally.answered > 0
    }
}
