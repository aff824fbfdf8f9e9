//! The loads that are played, one for each pattern.

use std::time::Duration;

use limpetloom::dispatch::Mitigations;

/// A pattern of load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// More is asked than engines can start in time.
    Burst,
    /// Many entries see the same best engine at the same moment.
    HotKey,
    /// Refused callers come back at once, again and again.
    RetryAbuse,
    /// Callers leave before their answer begins.
    Departures,
    /// The engines of a zone fall silent.
    ZoneLoss,
    /// The engines of a zone come back cold.
    ColdReturn,
    /// Engines change their version while more is asked than they can serve.
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

    /// Name on the command line.
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

    /// Everything but the answer to this pattern.
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

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Engines.
    pub engines: usize,
    /// Entries, by turns in each zone.
    pub entries: usize,
    /// Length of the traffic.
    pub length: Duration,
    /// Requests over what engines can serve.
    pub load_factor: f64,
    /// Start, end and factor of a burst.
    pub burst: Option<(Duration, Duration, f64)>,
    /// Share of callers that come back at once three times more.
    pub abusive: f64,
    /// Share of callers that leave after half of their goal.
    pub leaving: f64,
    /// Start and end of the time in which the engines of the first zone are silent.
    pub dark: Option<(Duration, Duration)>,
    /// True when these engines have crashed and come back cold.
    pub returns_cold: bool,
    /// Time at which engines begin to change their version, by turns.
    pub push: Option<Duration>,
    /// Time between two reports of an engine's load.
    pub report: Duration,
    /// Requests a second that a cold engine bears.
    pub cold_rate: f64,
}

const fn secs(secs: f64) -> Duration {
    Duration::from_micros((secs * 1e6) as u64)
}

impl Workload {
    /// A calm load that engines can serve.
    pub const STEADY: Self = Self {
        engines: 16,
        entries: 4,
        length: secs(10.0),
        load_factor: 0.8,
        burst: None,
        abusive: 0.0,
        leaving: 0.0,
        dark: None,
        returns_cold: false,
        push: None,
        report: secs(0.04),
        cold_rate: 36.0,
    };

    /// The load that shows a pattern.
    pub fn for_pattern(pattern: Pattern) -> Self {
        let calm = Self::STEADY;
        let (from, to) = (secs(3.0), secs(7.0));
        match pattern {
            Pattern::Burst => Self {
                burst: Some((from, to, 2.2)),
                ..calm
            },
            // Many entries, each with few requests, and old reports: none sees its own effect.
            Pattern::HotKey => Self {
                entries: 24,
                burst: Some((from, to, 1.2)),
                report: secs(0.2),
                ..calm
            },
            Pattern::RetryAbuse => Self {
                load_factor: 1.4,
                abusive: 0.5,
                ..calm
            },
            Pattern::Departures => Self {
                load_factor: 1.2,
                leaving: 0.6,
                ..calm
            },
            Pattern::ZoneLoss => Self {
                load_factor: 0.5,
                dark: Some((from, to)),
                ..calm
            },
            Pattern::ColdReturn => Self {
                load_factor: 1.3,
                dark: Some((secs(3.0), secs(5.0))),
                returns_cold: true,
                // Less than a warm engine serves, so that the bound is what binds.
                cold_rate: 4.0,
                ..calm
            },
            Pattern::Push => Self {
                load_factor: 1.1,
                push: Some(from),
                ..calm
            },
        }
    }
}
