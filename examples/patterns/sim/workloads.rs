//! Simulated workloads, one for each load pattern.

use std::time::Duration;

use limpetloom::dispatch::Mitigations;

/// A load pattern.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// More requests arrive than the engines can start in time.
    Burst,
    /// Many entries select the same engine at the same time, because it looks best to each of them.
    HotKey,
    /// Refused callers retry at once and repeatedly.
    RetryAbuse,
    /// Callers disconnect before their answer starts.
    Departures,
    /// The engines of a zone stop responding.
    ZoneLoss,
    /// The engines of a zone return cold.
    ColdReturn,
    /// Engines switch their weight version while requests exceed what they can serve.
    Push,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 7] = [
        Self::Burst,
        Self::HotKey,
        Self::RetryAbuse,
        Self::Departures,
        Self::ZoneLoss,
        Self::ColdReturn,
        Self::Push,
    ];

    /// Name on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::HotKey => "hot-key",
            Self::RetryAbuse => "retry-abuse",
            Self::Departures => "departures",
            Self::ZoneLoss => "zone-loss",
            Self::ColdReturn => "cold-return",
            Self::Push => "push",
        }
    }

    /// All mitigations except the one for this pattern.
    pub fn without_mitigation(self) -> Mitigations {
        let all = Mitigations::default();
        match self {
            Self::Burst => Mitigations {
                burst: false,
                ..all
            },
            Self::HotKey => Mitigations {
                hot_key: false,
                ..all
            },
            Self::RetryAbuse => Mitigations {
                retry_abuse: false,
                ..all
            },
            Self::Departures => Mitigations {
                departures: false,
                ..all
            },
            Self::ZoneLoss => Mitigations {
                zone_loss: false,
                ..all
            },
            Self::ColdReturn => Mitigations {
                cold_return: false,
                ..all
            },
            Self::Push => Mitigations { push: false, ..all },
        }
    }
}

/// Parameters of a simulated workload and of the engines that serve it.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Number of engines.
    pub engines: usize,
    /// Number of entries, assigned to the zones in turn.
    pub entries: usize,
    /// Time during which callers arrive.
    pub duration: Duration,
    /// Request rate as a fraction of the engines' capacity, outside a burst.
    pub load_factor: f64,
    /// Start and end of a burst, and the factor by which it raises the request rate.
    pub burst: Option<(Duration, Duration, f64)>,
    /// Share of callers that retry up to four times, without delay. Others retry once, after the
    /// delay that the refusal states.
    pub abusive_share: f64,
    /// Share of callers that disconnect unless their answer starts within half of its start goal.
    pub departing_share: f64,
    /// Start and end of the time in which the engines of the first zone do not respond.
    pub zone_loss: Option<(Duration, Duration)>,
    /// True when the engines of the first zone are cold after the zone loss.
    pub returns_cold: bool,
    /// Time at which the first engine is ordered to switch its version; the others follow at equal
    /// intervals.
    pub rollout_start: Option<Duration>,
    /// Time between two load reports of an engine.
    pub report_interval: Duration,
    /// Declared rate limit of a cold engine, in requests per second.
    pub cold_rate: f64,
}

const fn secs(secs: f64) -> Duration {
    Duration::from_micros((secs * 1e6) as u64)
}

impl Workload {
    /// A steady workload below the engines' capacity.
    pub const STEADY: Self = Self {
        engines: 16,
        entries: 4,
        duration: secs(10.0),
        load_factor: 0.8,
        burst: None,
        abusive_share: 0.0,
        departing_share: 0.0,
        zone_loss: None,
        returns_cold: false,
        rollout_start: None,
        report_interval: secs(0.04),
        cold_rate: 36.0,
    };

    /// The workload that shows a pattern.
    pub fn for_pattern(pattern: Pattern) -> Self {
        let steady = Self::STEADY;
        let (from, to) = (secs(3.0), secs(7.0));
        match pattern {
            Pattern::Burst => Self {
                burst: Some((from, to, 2.2)),
                ..steady
            },
            // Many entries, each with few requests, and outdated reports: no entry sees the effect
            // of its own requests.
            Pattern::HotKey => Self {
                entries: 24,
                burst: Some((from, to, 1.2)),
                report_interval: secs(0.2),
                ..steady
            },
            Pattern::RetryAbuse => Self {
                load_factor: 1.4,
                abusive_share: 0.5,
                ..steady
            },
            Pattern::Departures => Self {
                load_factor: 1.2,
                departing_share: 0.6,
                ..steady
            },
            Pattern::ZoneLoss => Self {
                load_factor: 0.5,
                zone_loss: Some((from, to)),
                ..steady
            },
            Pattern::ColdReturn => Self {
                load_factor: 1.3,
                zone_loss: Some((secs(3.0), secs(5.0))),
                returns_cold: true,
                // Below the capacity of a warm engine, so that the limit takes effect.
                cold_rate: 4.0,
                ..steady
            },
            Pattern::Push => Self {
                load_factor: 1.1,
                rollout_start: Some(from),
                ..steady
            },
        }
    }
}
