//! Random worlds of entries, agents and engines in which one prompt part or one request crashes
//! engines, checked against an oracle that knows it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::fuzz_config::fuzz_config;
use crate::heartbeat::{Entries, EntryHeartbeat};
use crate::types::PromptPart;

/// Number of generated histories per run.
const CASES: u32 = 192;
const ENTRIES: usize = 3;
const ENGINES: usize = 6;
/// Prompt parts that sound and harmful requests share.
const SOUND: [PromptPart; 4] = [1, 2, 3, 4];
/// Prompt part that crashes engines.
const HARMFUL: PromptPart = 7;
/// Digest of the request that crashes engines with any prompt; all others have one of their own.
const HARMFUL_DIGEST: u64 = u64::MAX;
/// Crashes after which the harmful part or request is known when all processes have exchanged them.
const KNOWN_AFTER: usize = 3;

/// Longest time between a crash and the moment at which the breaks of its connections are seen.
const BREAK_DELAY: Duration = ms(1_000);
/// Longest time between two reports of an agent that reach all entries.
const REPORT_INTERVAL: Duration = ms(800);
/// Steps after which a request must have found an engine.
const MAX_STEPS: usize = 40;

/// Operation of a history; entries, engines and requests are given by index, and sets by bits.
#[derive(Clone, Debug)]
enum Op {
    Advance(u16),
    /// Sends a request with a set of the sound parts, and the harmful one if true.
    Send(usize, u8, bool),
    /// An engine begins to answer a request: a harmful one crashes it, others are answered.
    Run(usize),
    /// The ends of the connections to an engine are seen.
    SeeBreaks(usize),
    /// The agent reports to the entries in the set; the others lose the datagram.
    Report(usize, u8),
    /// An entry sends a heartbeat to the agents in the set.
    Heartbeat(usize, u8),
    /// The engine's next process starts.
    Restart(usize),
    /// The host loses its power, and with it the agent and the engine.
    LosePower(usize),
    /// The engine ends after it has been listed as leaving, with requests in flight.
    Leave(usize),
    /// The agent's process is replaced.
    RestartAgent(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let (engine, entry) = (0..ENGINES, 0..ENTRIES);
    let send = (entry.clone(), 0u8..16, prop::bool::weighted(0.3));
    prop_oneof![
        4 => (0u16..900).prop_map(Op::Advance),
        8 => send.prop_map(|(at, parts, is_harmful)| Op::Send(at, parts, is_harmful)),
        8 => (0usize..8).prop_map(Op::Run),
        3 => engine.clone().prop_map(Op::SeeBreaks),
        5 => (engine.clone(), any::<u8>()).prop_map(|(engine, to)| Op::Report(engine, to)),
        3 => (entry, any::<u8>()).prop_map(|(at, to)| Op::Heartbeat(at, to)),
        4 => engine.clone().prop_map(Op::Restart),
        1 => engine.clone().prop_map(Op::LosePower),
        1 => engine.clone().prop_map(Op::Leave),
        1 => engine.prop_map(Op::RestartAgent),
    ]
}

/// How the processes deviate from what they should do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    NoFault,
    /// Entries do not see the harmful part in prompts.
    HarmfulPartNotRead,
    /// Entries take the harmful part for a sound one.
    HarmfulPartMistaken,
    /// Entries take each copy of the harmful request for another one.
    CopiesNotKnown,
    /// Agents forward no crashes.
    CrashesNotForwarded,
    /// Agents attest the crash of engines that ended with the host's power.
    PowerLossAttested,
    /// Entries do not hear that an engine is leaving.
    LeavingNotApplied,
}

/// What crashes engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Storm {
    Nothing,
    /// A prompt part, in requests of which no two are alike.
    Part,
    /// One request, of which copies are sent. Its prompt has sound parts only.
    Request,
}

/// A request at an engine.
#[derive(Clone, Debug)]
struct Flight {
    entry: usize,
    ticket: TicketId,
    engine: usize,
    incarnation: u64,
    is_harmful: bool,
}

#[derive(Clone, Debug)]
struct Engine {
    incarnation: u64,
    /// Time at which the process ended; `None` while it is up.
    ended_at: Option<Instant>,
    agent: u64,
    /// False while the host has no power.
    has_agent: bool,
    agent_state: Entries,
    /// Last report that reached all entries.
    reported_at: Instant,
}

struct World {
    now: Instant,
    entries: Vec<Dispatcher>,
    engines: Vec<Engine>,
    flights: Vec<Flight>,
    storm: Storm,
    fault: InjectedFault,
    /// Number of requests sent.
    sent: u64,
}

type Check = Result<(), TestCaseError>;

impl World {
    fn new(storm: Storm, fault: InjectedFault) -> Self {
        let now = Instant::now();
        let engine = |engine| Engine {
            incarnation: 1,
            ended_at: None,
            agent: 100 + engine as u64,
            has_agent: true,
            agent_state: Entries::default(),
            reported_at: now,
        };
        let mut world = Self {
            now,
            entries: (0..ENTRIES).map(|_| core(now)).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            flights: Vec::new(),
            storm,
            fault,
            sent: 0,
        };
        for engine in 0..ENGINES {
            world.list(engine, false);
            world.report(engine, u8::MAX);
        }
        // The sound parts are in use before the harmful one comes.
        for entry in 0..ENTRIES {
            world.send(entry, u8::MAX, false);
            world.run_request(0);
        }
        world.advance(ms(400));
        world
    }

    fn run(&mut self, op: &Op) {
        match op {
            Op::Advance(millis) => self.advance(ms((*millis).into())),
            Op::Send(entry, parts, is_harmful) => {
                self.send(*entry, *parts, *is_harmful);
            }
            Op::Run(at) => self.run_request(*at),
            Op::SeeBreaks(engine) => self.see_breaks(*engine),
            Op::Report(engine, to) => self.report(*engine, *to),
            Op::Heartbeat(entry, to) => self.heartbeat(*entry, *to),
            Op::Restart(engine) => self.restart(*engine),
            Op::LosePower(engine) => {
                if self.fault == InjectedFault::PowerLossAttested {
                    self.engines[*engine].ended_at = Some(self.now);
                    self.report(*engine, u8::MAX);
                }
                let host = &mut self.engines[*engine];
                host.ended_at = host.ended_at.or(Some(self.now));
                host.agent += 1_000;
                host.agent_state = Entries::default();
                host.has_agent = false;
                self.see_breaks(*engine);
            }
            Op::Leave(engine) => {
                if self.engines[*engine].ended_at.is_none() {
                    self.list(*engine, self.fault != InjectedFault::LeavingNotApplied);
                    self.engines[*engine].ended_at = Some(self.now);
                }
            }
            Op::RestartAgent(engine) => {
                self.engines[*engine].agent += 1_000;
                self.engines[*engine].agent_state = Entries::default();
            }
        }
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        let now = self.now;
        let age = |at: Instant| now.duration_since(at);
        for engine in 0..ENGINES {
            let ended_at = self.engines[engine].ended_at;
            if ended_at.is_some_and(|at| age(at) >= BREAK_DELAY) {
                self.see_breaks(engine);
            }
            if age(self.engines[engine].reported_at) >= REPORT_INTERVAL {
                self.report(engine, u8::MAX);
            }
        }
        for core in &mut self.entries {
            core.dispatch_waiting(self.now);
        }
    }

    fn list(&mut self, engine: usize, is_leaving: bool) {
        let id = format!("e{}", engine + 1);
        let mut entry = listed(&id, "engines", engine as u8 + 1, "north");
        entry.incarnation = self.engines[engine].incarnation;
        entry.is_leaving = is_leaving;
        for core in &mut self.entries {
            core.update_endpoint(self.now, entry.clone());
        }
    }

    /// Sends a request; returns true when it reaches an engine, and `None` when it is refused.
    fn send(&mut self, entry: usize, sound: u8, is_harmful: bool) -> Option<bool> {
        self.sent += 1;
        let in_set = |at: usize| sound & (1 << at) != 0;
        let parts = (0..SOUND.len())
            .filter(|at| in_set(*at))
            .map(|at| SOUND[at]);
        let harmful = match self.fault {
            InjectedFault::HarmfulPartNotRead => None,
            InjectedFault::HarmfulPartMistaken => Some(SOUND[0]),
            _ => Some(HARMFUL),
        };
        let harmful = harmful.filter(|_| is_harmful && self.storm == Storm::Part);
        let is_copy = is_harmful
            && self.storm == Storm::Request
            && self.fault != InjectedFault::CopiesNotKnown;
        let req = CallerRequest {
            prompt_parts: parts.chain(harmful).collect(),
            fingerprint: match is_copy {
                true => HARMFUL_DIGEST,
                false => self.sent,
            },
            ..request("chat")
        };
        let core = &mut self.entries[entry];
        let ticket = core.admit(self.now, &req).ok()?;
        let Some(Decision::Send(assignment)) = decide(core, self.now, ticket) else {
            core.finish(self.now, ticket);
            return Some(false);
        };
        let engine = assignment.endpoint[1..].parse::<usize>().unwrap() - 1;
        if self.engines[engine].ended_at.is_some() {
            core.attempt_ended(self.now, ticket, AttemptOutcome::NotSent);
            core.finish(self.now, ticket);
            return Some(false);
        }
        self.flights.push(Flight {
            entry,
            ticket,
            engine,
            incarnation: self.engines[engine].incarnation,
            is_harmful,
        });
        Some(true)
    }

    fn run_request(&mut self, at: usize) {
        let Some(flight) = self.flights.get(at).cloned() else {
            return;
        };
        let engine = &mut self.engines[flight.engine];
        if engine.ended_at.is_some() || engine.incarnation != flight.incarnation {
            return;
        }
        if flight.is_harmful {
            engine.ended_at = Some(self.now);
            return;
        }
        self.flights.remove(at);
        let core = &mut self.entries[flight.entry];
        core.attempt_started(self.now, flight.ticket, Some(1));
        core.attempt_ended(self.now, flight.ticket, AttemptOutcome::Answered);
    }

    fn see_breaks(&mut self, engine: usize) {
        if self.engines[engine].ended_at.is_none() {
            return;
        }
        let (broken, others) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition::<Vec<_>, _>(|flight| flight.engine == engine);
        self.flights = others;
        for flight in broken {
            let core = &mut self.entries[flight.entry];
            core.attempt_ended(self.now, flight.ticket, AttemptOutcome::Broken);
            core.finish(self.now, flight.ticket);
        }
    }

    fn report(&mut self, engine: usize, to: u8) {
        let now = self.now;
        let host = &mut self.engines[engine];
        if !host.has_agent {
            return;
        }
        if to == u8::MAX {
            host.reported_at = now;
        }
        let sight = match host.ended_at {
            None => EndpointSight::Alive(host.incarnation),
            Some(_) => EndpointSight::Down,
        };
        host.agent_state.expire(now);
        let crashes = match self.fault {
            InjectedFault::CrashesNotForwarded => Vec::new(),
            _ => host.agent_state.crashes(now),
        };
        for (entry, core) in self.entries.iter_mut().enumerate() {
            if to & (1 << entry) != 0 {
                core.merge_crashes(now, &crashes);
                core.record_sight(now, ip(engine as u8 + 1), host.agent, sight);
            }
        }
    }

    fn heartbeat(&mut self, entry: usize, to: u8) {
        let from = SocketAddr::from(([10, 0, 1, entry as u8], 7_700));
        let heartbeat = EntryHeartbeat {
            entry_incarnation: 1,
            is_open: true,
            interval_ms: 400,
            wants_load: false,
            plan: None,
            crashes: self.entries[entry].crashes(self.now),
        };
        for (engine, host) in self.engines.iter_mut().enumerate() {
            if host.has_agent && to & (1 << engine) != 0 {
                host.agent_state
                    .record_heartbeat(self.now, from, &heartbeat);
            }
        }
    }

    fn restart(&mut self, engine: usize) {
        if self.engines[engine].ended_at.is_none() {
            return;
        }
        self.see_breaks(engine);
        let host = &mut self.engines[engine];
        host.ended_at = None;
        host.incarnation += 1;
        host.has_agent = true;
        self.list(engine, false);
    }

    /// All engines are up, and all processes know what any of them does.
    fn calm(&mut self) {
        for _ in 0..2 {
            (0..ENGINES).for_each(|engine| self.see_breaks(engine));
            (0..ENGINES).for_each(|engine| self.report(engine, u8::MAX));
            (0..ENTRIES).for_each(|entry| self.heartbeat(entry, u8::MAX));
            (0..ENGINES).for_each(|engine| self.report(engine, u8::MAX));
            (0..ENGINES).for_each(|engine| self.restart(engine));
            self.advance(ms(400));
        }
    }

    /// Sends a request until it reaches an engine, which begins to answer it. Returns false when it
    /// is refused.
    fn send_until_run(
        &mut self,
        entry: usize,
        sound: u8,
        is_harmful: bool,
    ) -> Result<bool, TestCaseError> {
        for _ in 0..MAX_STEPS {
            match self.send(entry, sound, is_harmful) {
                None => return Ok(false),
                Some(true) => {
                    self.run_request(self.flights.len() - 1);
                    return Ok(true);
                }
                Some(false) => self.calm(),
            }
        }
        Err(TestCaseError::fail("no engine runs a request"))
    }

    /// Few more harmful requests crash engines, and sound ones are still served.
    fn check_after_storm(&mut self) -> Check {
        self.calm();
        let mut crashes = 0;
        for round in 0..4 * ENTRIES {
            if self.send_until_run(round % ENTRIES, 1 << (round % SOUND.len()), true)? {
                crashes += 1;
            }
            self.calm();
        }
        for entry in 0..ENTRIES {
            for part in 0..SOUND.len() {
                let runs = self.send_until_run(entry, 1 << part, false)?;
                prop_assert!(runs, "a sound part is blamed");
            }
            let runs = self.send_until_run(entry, u8::MAX, false)?;
            prop_assert!(runs, "sound parts are blamed together");
        }
        prop_assert!(crashes <= KNOWN_AFTER, "{} more engines crash", crashes);
        Ok(())
    }

    /// Nothing counts as a crash.
    fn check_without_storm(&mut self) -> Check {
        self.calm();
        for core in &mut self.entries {
            let crashes = core.crashes(self.now);
            prop_assert!(crashes.is_empty(), "{:?} count as crashes", crashes);
        }
        Ok(())
    }
}

/// Runs histories with harmful requests or without.
fn run_histories(fault: InjectedFault, storm: Storm) -> Result<(), TestError<Vec<Op>>> {
    let mut runner = TestRunner::new(fuzz_config(CASES));
    runner.run(&proptest::collection::vec(op(), 1..150), |ops| {
        let mut world = World::new(storm, fault);
        for op in &ops {
            match op {
                Op::Send(entry, parts, true) if storm == Storm::Nothing => {
                    world.run(&Op::Send(*entry, *parts, false));
                }
                op => world.run(op),
            }
        }
        match storm {
            Storm::Part | Storm::Request => world.check_after_storm(),
            Storm::Nothing => world.check_without_storm(),
        }
    })
}

#[rstest]
#[case::harmful_part(Storm::Part)]
#[case::harmful_request(Storm::Request)]
#[case::without_harmful_requests(Storm::Nothing)]
fn random_histories_violate_no_invariant(#[case] storm: Storm) {
    if let Err(err) = run_histories(InjectedFault::NoFault, storm) {
        panic!("{err}");
    }
}

#[rstest]
#[case::harmful_part_not_read(InjectedFault::HarmfulPartNotRead, Storm::Part, "more engines crash")]
#[case::harmful_part_mistaken(
    InjectedFault::HarmfulPartMistaken,
    Storm::Part,
    "a sound part is blamed"
)]
#[case::copies_not_known(InjectedFault::CopiesNotKnown, Storm::Request, "more engines crash")]
#[case::crashes_not_forwarded(
    InjectedFault::CrashesNotForwarded,
    Storm::Part,
    "more engines crash"
)]
#[case::crashes_of_a_request_not_forwarded(
    InjectedFault::CrashesNotForwarded,
    Storm::Request,
    "more engines crash"
)]
#[case::power_loss_attested(InjectedFault::PowerLossAttested, Storm::Nothing, "count as crashes")]
#[case::leaving_not_applied(InjectedFault::LeavingNotApplied, Storm::Nothing, "count as crashes")]
fn an_injected_fault_is_detected(
    #[case] fault: InjectedFault,
    #[case] storm: Storm,
    #[case] message: &str,
) {
    let err = run_histories(fault, storm).unwrap_err().to_string();
    assert!(err.contains(message), "{err}");
}
