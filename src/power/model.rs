//! Model of an endpoint's draw: idle power and energy for each token, corrected by reports.

use std::time::Duration;

use crate::agent::core::EndpointConfig;
use crate::types::{Millijoules, Milliwatts};

/// Tokens a second of one stream, until answers show the rate.
const NOMINAL_TOKENS_PER_SECOND: u64 = 40;

/// Bounds of the correction, in thousandths.
const CORRECTION_MIN_PERMILLE: u64 = 500;
const CORRECTION_MAX_PERMILLE: u64 = 4_000;

/// Weight of a new sample in the moving averages is one in this number.
const AVERAGE_SPAN: u64 = 8;

/// Modelled draw of one endpoint.
#[derive(Clone, Debug)]
pub struct PowerModel {
    idle: Milliwatts,
    millijoules_per_token: Millijoules,
    /// Thousandths of a token a second of one stream.
    stream_rate: u64,
    /// Invariant: between [`CORRECTION_MIN_PERMILLE`] and [`CORRECTION_MAX_PERMILLE`].
    correction_permille: u64,
}

impl PowerModel {
    /// A model with declared values only.
    pub fn new(idle: Milliwatts, millijoules_per_token: Millijoules) -> Self {
        Self {
            idle,
            millijoules_per_token,
            stream_rate: NOMINAL_TOKENS_PER_SECOND * 1_000,
            correction_permille: 1_000,
        }
    }

    /// Declared draw of an endpoint at full load.
    pub fn full_load(cfg: &EndpointConfig) -> Milliwatts {
        let streams = u64::from(cfg.limit);
        let stream = cfg
            .millijoules_per_token
            .saturating_mul(NOMINAL_TOKENS_PER_SECOND);
        cfg.idle_power_mw
            .saturating_add(stream.saturating_mul(streams))
    }

    /// Draw of one stream.
    pub fn stream_draw(&self) -> Milliwatts {
        let declared = self.millijoules_per_token * self.stream_rate / 1_000;
        declared * self.correction_permille / 1_000
    }

    /// Draw with `streams` running.
    pub fn draw(&self, streams: u32) -> Milliwatts {
        self.idle + self.stream_draw() * u64::from(streams)
    }

    /// Streams that fit into `grant`.
    pub fn streams_within(&self, grant: Milliwatts) -> u32 {
        let spare = grant.saturating_sub(self.idle);
        match self.stream_draw() {
            0 => u32::MAX,
            stream => u32::try_from(spare / stream).unwrap_or(u32::MAX),
        }
    }

    /// True when `grant` covers one stream at the nominal rate.
    ///
    /// The rate of a lone stream that was seen once can exceed any share; without this bound such
    /// an endpoint would get no work, and so nothing that corrects the rate.
    pub fn fits_one_stream(&self, grant: Milliwatts) -> bool {
        let nominal = self.millijoules_per_token * NOMINAL_TOKENS_PER_SECOND;
        grant > 0 && grant >= self.idle + nominal
    }

    /// Takes in a whole answer of `tokens` that took `span` from its first token.
    pub fn record_answer(&mut self, tokens: u32, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if tokens < 2 || micros == 0 {
            return;
        }
        let rate = u64::from(tokens - 1).saturating_mul(1_000_000_000) / micros;
        self.stream_rate = toward(self.stream_rate, rate.max(1));
    }

    /// Takes in a reported draw. A report that shows another number of streams than run now lags;
    /// it may raise the correction but not lower it.
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
            self.correction_permille = toward(self.correction_permille, measured);
        }
    }
}

fn toward(usual: u64, sample: u64) -> u64 {
    (usual * (AVERAGE_SPAN - 1) + sample) / AVERAGE_SPAN
}
