//! Model of an endpoint's power draw: idle power plus energy per token, corrected by reported
//! measurements.

use std::time::Duration;

use crate::agent::core::EndpointConfig;
use crate::types::{Millijoules, Milliwatts};

/// Assumed rate of one stream in tokens per second, until complete answers show the actual rate.
const NOMINAL_TOKENS_PER_SECOND: u64 = 40;

/// Bounds of the correction factor, in thousandths.
const CORRECTION_MIN_PERMILLE: u64 = 500;
const CORRECTION_MAX_PERMILLE: u64 = 4_000;

/// Reciprocal of the weight of a new sample in the moving averages.
const INVERSE_SAMPLE_WEIGHT: u64 = 8;

/// Power model of one endpoint.
#[derive(Clone, Debug)]
pub struct PowerModel {
    idle: Milliwatts,
    millijoules_per_token: Millijoules,
    /// Rate of one stream in thousandths of a token per second.
    stream_rate: u64,
    /// Ratio of the measured to the declared draw of the streams.
    ///
    /// Invariant: between [`CORRECTION_MIN_PERMILLE`] and [`CORRECTION_MAX_PERMILLE`].
    correction_permille: u64,
}

impl PowerModel {
    /// Creates a model from the declared values, without measurements.
    pub fn new(idle: Milliwatts, millijoules_per_token: Millijoules) -> Self {
        Self {
            idle,
            millijoules_per_token,
            stream_rate: NOMINAL_TOKENS_PER_SECOND * 1_000,
            correction_permille: 1_000,
        }
    }

    /// Declared power draw of an endpoint at full load.
    pub fn full_load(cfg: &EndpointConfig) -> Milliwatts {
        let streams = u64::from(cfg.limit);
        let stream = cfg
            .millijoules_per_token
            .saturating_mul(NOMINAL_TOKENS_PER_SECOND);
        cfg.idle_power_mw
            .saturating_add(stream.saturating_mul(streams))
    }

    /// Power draw of one stream.
    pub fn stream_draw(&self) -> Milliwatts {
        let declared = self.millijoules_per_token * self.stream_rate / 1_000;
        declared * self.correction_permille / 1_000
    }

    /// Power draw with `streams` running streams.
    pub fn draw(&self, streams: u32) -> Milliwatts {
        self.idle + self.stream_draw() * u64::from(streams)
    }

    /// Number of streams that `grant` covers.
    pub fn streams_within(&self, grant: Milliwatts) -> u32 {
        let spare = grant.saturating_sub(self.idle);
        match self.stream_draw() {
            0 => u32::MAX,
            stream => u32::try_from(spare / stream).unwrap_or(u32::MAX),
        }
    }

    /// True when `grant` covers one stream at the nominal rate.
    ///
    /// The measured rate of a single stream can be so high that no grant covers it. Without this
    /// lower bound the endpoint would then receive no requests, and so no answers that correct the
    /// rate.
    pub fn fits_one_stream(&self, grant: Milliwatts) -> bool {
        let nominal = self.millijoules_per_token * NOMINAL_TOKENS_PER_SECOND;
        grant > 0 && grant >= self.idle + nominal
    }

    /// Updates the stream rate with a complete answer of `tokens` tokens that took `span` from its
    /// first token.
    pub fn record_answer(&mut self, tokens: u32, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if tokens < 2 || micros == 0 {
            return;
        }
        let rate = u64::from(tokens - 1).saturating_mul(1_000_000_000) / micros;
        self.stream_rate = moving_average(self.stream_rate, rate.max(1));
    }

    /// Updates the correction with a measured draw. A report whose number of `streams` differs from
    /// the number `running` now is outdated; it may raise the correction but not lower it.
    pub fn record_report(&mut self, draw: Milliwatts, streams: u32, running: u32) {
        let declared = self.millijoules_per_token * self.stream_rate / 1_000 * u64::from(streams);
        if declared == 0 {
            return;
        }
        let measured = draw.saturating_sub(self.idle) * 1_000 / declared;
        let measured = measured.clamp(CORRECTION_MIN_PERMILLE, CORRECTION_MAX_PERMILLE);
        if measured > self.correction_permille {
            self.correction_permille = measured;
        } else if streams == running {
            self.correction_permille = moving_average(self.correction_permille, measured);
        }
    }
}

/// Exponential moving average with a new sample.
fn moving_average(average: u64, sample: u64) -> u64 {
    (average * (INVERSE_SAMPLE_WEIGHT - 1) + sample) / INVERSE_SAMPLE_WEIGHT
}
