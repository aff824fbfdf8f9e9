//! Callers: what they ask for, how long they wait, and whether they come back.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name, which is also its path.
    pub name: &'static str,
    /// Share of the requests, in any unit.
    pub share: f64,
    /// Mean and greatest prompt in tokens.
    pub prompt: (f64, f64),
    /// Mean and greatest answer in events.
    pub events: (f64, f64),
    /// Time to the first event for which service counts in full.
    pub goal: Duration,
    /// Worth of an answer that is on time, and of one that is late.
    pub value: (f64, f64),
}

/// The streamed kinds of the operators' sheets.
pub fn classes() -> [Class; 3] {
    let class = |name, share, prompt, events, goal, value| Class {
        name,
        share,
        prompt,
        events,
        goal: Duration::from_millis(goal),
        value,
    };
    [
        class(
            "plan",
            99.0,
            (1_330.0, 3_880.0),
            (24.0, 60.0),
            400,
            (2.5, 0.62),
        ),
        class(
            "help",
            70.8,
            (827.0, 3_330.0),
            (24.0, 60.0),
            400,
            (2.1, 0.53),
        ),
        class(
            "brief",
            83.0,
            (647.0, 2_640.0),
            (11.6, 60.0),
            300,
            (1.3, 0.33),
        ),
    ]
}

/// Time for which callers wait for their whole answer, from their first attempt.
pub const PATIENCE: Duration = Duration::from_millis(6_000);

/// A caller and what became of its request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Kind of request.
    pub class: Class,
    /// Number of its zone.
    pub zone: usize,
    /// Part of the usual patience that it says it has; callers differ in it.
    pub hurry: f64,
    /// Time of its first attempt, from the start of the play.
    pub asked: Duration,
    /// Prompt in tokens.
    pub prompt: f64,
    /// Events of the whole answer.
    pub events: u32,
    /// Refusals after which it still comes back.
    pub returns_left: u32,
    /// True when it comes back at once, whatever it was told.
    pub is_abusive: bool,
    /// Time after which it leaves without a first event.
    pub leaves_after: Option<Duration>,
    /// Entry and ticket of the attempt under way.
    pub at: Option<(usize, u64)>,
    /// Engine that runs it.
    pub engine: Option<usize>,
    /// Time at which the newest attempt was sent, and requests that it found at its engine.
    pub sent: Option<(Duration, u32)>,
    /// Number of attempts so far, over all entries.
    pub attempt: u32,
    /// Events that have arrived.
    pub got: u32,
    /// Time of the first event.
    pub first: Option<Duration>,
    /// Time of the newest event.
    pub newest: Duration,
    /// Longest pause between two events.
    pub gap: Duration,
    /// Refusals so far.
    pub refused: u32,
    /// What became of it.
    pub end: Option<End>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer came.
    Answered,
    /// It was refused and did not come back.
    Refused,
    /// It ended without an answer.
    Lost,
    /// Its caller left early by itself.
    Left,
}

impl Caller {
    /// A caller of a random kind.
    pub fn draw(rng: &mut SmallRng, zone: usize, asked: Duration) -> Self {
        let classes = classes();
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let mut at = rng.random_range(0.0..total);
        let class = classes.into_iter().find(|class| {
            at -= class.share;
            at < 0.0
        });
        let class = class.unwrap_or(classes[0]);
        let (mean, max) = class.events;
        Self {
            prompt: size(rng, class.prompt.0, class.prompt.1),
            events: size(rng, mean, max).round().max(1.0) as u32,
            class,
            zone,
            hurry: rng.random_range(0.85..1.0),
            asked,
            returns_left: 1,
            is_abusive: false,
            leaves_after: None,
            at: None,
            engine: None,
            sent: None,
            attempt: 0,
            got: 0,
            first: None,
            newest: asked,
            gap: Duration::ZERO,
            refused: 0,
            end: None,
        }
    }
}

/// A size with a long tail, as prompts and answers have it.
fn size(rng: &mut SmallRng, mean: f64, max: f64) -> f64 {
    /// Spread of the logarithm: the tenth largest is about three times the median.
    const SPREAD: f64 = 0.85;
    let location = mean.ln() - SPREAD * SPREAD / 2.0;
    let drawn = LogNormal::new(location, SPREAD).map_or(mean, |sizes| sizes.sample(rng));
    drawn.clamp(1.0, max)
}
