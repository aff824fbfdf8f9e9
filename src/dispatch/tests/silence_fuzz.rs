//! Random sequences of silent attempts and second ones, beside changes of the configuration, of the
//! load and of the list of endpoints.
//!
//! The model knows which attempts are open. A request must end once, by an answer, a refusal, the
//! departure of its caller or its deadline, and by no refusal while an attempt of it is open.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use super::fixture::*;
use crate::dispatch::*;
use crate::fuzz_config::fuzz_config;

/// Number of generated sequences per run.
const CASES: u32 = 256;
/// Engines as (name, host, region).
const ENGINES: [(&str, u8, &str); 4] = [
    ("e1", 1, "north"),
    ("e2", 2, "north"),
    ("e3", 3, "south"),
    ("e4", 4, "south"),
];
/// Attempts that the route allows.
const MAX_ATTEMPTS: u32 = 3;

/// Operation of a sequence; requests and endpoints are given by index.
#[derive(Clone, Debug)]
enum Op {
    Advance(u16),
    Admit,
    StartAnswer(usize),
    FallSilent(usize),
    SilentGoesOn(usize),
    EndRunning(usize, AttemptOutcome),
    EndSilent(usize, AttemptOutcome),
    CallerLeaves(usize),
    Load(usize, u32, u64),
    Leave(usize),
    Join(usize),
    Evacuate(bool),
    /// A configuration with or without the route.
    Configure(bool),
}

fn failure() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        2 => Just(AttemptOutcome::Broken),
        1 => Just(AttemptOutcome::Failed),
        1 => Just(AttemptOutcome::NotRun { is_full: true }),
        1 => Just(AttemptOutcome::NotRun { is_full: false }),
        1 => Just(AttemptOutcome::NotSent),
    ]
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        3 => Just(AttemptOutcome::Answered),
        1 => Just(AttemptOutcome::Rejected),
        5 => failure(),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0u16..400).prop_map(Op::Advance),
        5 => Just(Op::Admit),
        4 => (0usize..6).prop_map(Op::StartAnswer),
        6 => (0usize..6).prop_map(Op::FallSilent),
        3 => (0usize..6).prop_map(Op::SilentGoesOn),
        4 => (0usize..6, outcome()).prop_map(|(at, end)| Op::EndRunning(at, end)),
        3 => (0usize..6, failure()).prop_map(|(at, end)| Op::EndSilent(at, end)),
        1 => (0usize..6).prop_map(Op::CallerLeaves),
        2 => (0usize..4, 0u32..60, 1u64..3).prop_map(|(at, n, v)| Op::Load(at, n, v)),
        1 => (0usize..4).prop_map(Op::Leave),
        2 => (0usize..4).prop_map(Op::Join),
        1 => any::<bool>().prop_map(Op::Evacuate),
        2 => any::<bool>().prop_map(Op::Configure),
    ]
}

/// How the dispatcher's input differs from the model's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    NoFault,
    /// A silent attempt is reported as ended.
    SilenceEndsAttempt,
    SilentEndNotReported,
    /// A silent attempt that goes on is reported as broken.
    SilentGoesOnReportedAsBroken,
}

#[derive(Clone, Debug, Default)]
struct TrackedRequest {
    running: Option<usize>,
    silent: Option<usize>,
    /// Attempts sent to an endpoint.
    sent: u32,
    /// True while it waits for an endpoint.
    is_waiting: bool,
}

impl TrackedRequest {
    fn keep_silent(&mut self) {
        self.running = self.silent.take();
        self.is_waiting = false;
    }
}

struct World {
    now: Instant,
    core: Dispatcher,
    fault: InjectedFault,
    requests: BTreeMap<TicketId, TrackedRequest>,
    admitted: u64,
    configuration: u64,
}

type Check = Result<(), TestCaseError>;

fn is_end(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Rejected)
}

impl World {
    fn new(fault: InjectedFault) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            core: empty_core(),
            fault,
            requests: BTreeMap::new(),
            admitted: 0,
            configuration: 0,
        };
        world.configure(true);
        (0..ENGINES.len()).for_each(|at| world.list(at, false));
        world
    }

    fn configure(&mut self, has_route: bool) {
        self.configuration += 1;
        let chat = Route {
            max_attempts: MAX_ATTEMPTS,
            ..route("chat", "engines", Repeat::Resumable)
        };
        let routes = has_route.then_some(chat).into_iter().collect();
        let next = configuration(self.configuration, routes);
        self.core.set_configuration(Arc::new(next));
    }

    fn list(&mut self, at: usize, is_leaving: bool) {
        let (id, host, region) = ENGINES[at];
        let entry = ListedEndpoint {
            is_leaving,
            ..listed(id, "engines", host, region)
        };
        self.core.update_endpoint(self.now, entry);
    }

    /// The request at an index among those with a running, or a silent, attempt.
    fn nth(&self, at: usize, has: impl Fn(&TrackedRequest) -> bool) -> Option<TicketId> {
        let mut fitting = self.requests.iter().filter(|(_, request)| has(request));
        fitting.nth(at).map(|(ticket, _)| *ticket)
    }

    fn request(&mut self, ticket: TicketId) -> Result<&mut TrackedRequest, TestCaseError> {
        let request = self.requests.get_mut(&ticket);
        request.ok_or_else(|| TestCaseError::fail("a request goes on after its end"))
    }

    fn run(&mut self, op: &Op) -> Check {
        match op {
            Op::Advance(millis) => self.now += Duration::from_millis(u64::from(*millis)),
            Op::Admit => self.admit(),
            Op::StartAnswer(at) => {
                if let Some(ticket) = self.nth(*at, |r| r.running.is_some()) {
                    self.core.attempt_started(self.now, ticket, Some(1));
                }
            }
            Op::FallSilent(at) => self.fall_silent(*at)?,
            Op::SilentGoesOn(at) => self.silent_goes_on(*at)?,
            Op::EndRunning(at, end) => self.end_running(*at, *end)?,
            Op::EndSilent(at, end) => self.end_silent(*at, *end)?,
            Op::CallerLeaves(at) => {
                if let Some(ticket) = self.nth(*at, |_| true) {
                    self.requests.remove(&ticket);
                    prop_assert!(self.core.finish(self.now, ticket).is_some(), "ended before");
                }
            }
            Op::Load(at, running, version) => {
                let mut load = load(*running);
                load.models = vec![(MODEL.into(), *version)];
                self.core.update_load(self.now, ip(ENGINES[*at].1), load);
            }
            Op::Leave(at) => self.list(*at, true),
            Op::Join(at) => self.list(*at, false),
            Op::Evacuate(out) => {
                let zones = out.then(|| "north-a".into());
                self.core.set_evacuated_zones(zones.into_iter().collect());
            }
            Op::Configure(has_route) => self.configure(*has_route),
        }
        self.dispatch_waiting()?;
        self.check_places()
    }

    fn admit(&mut self) {
        self.admitted += 1;
        let req = CallerRequest {
            fingerprint: self.admitted,
            ..request("chat")
        };
        if let Ok(ticket) = self.core.admit(self.now, &req) {
            let request = TrackedRequest {
                is_waiting: true,
                ..TrackedRequest::default()
            };
            self.requests.insert(ticket, request);
        }
    }

    fn fall_silent(&mut self, at: usize) -> Check {
        let Some(ticket) = self.nth(at, |r| r.running.is_some()) else {
            return Ok(());
        };
        if self.fault == InjectedFault::SilenceEndsAttempt {
            let step = self
                .core
                .attempt_ended(self.now, ticket, AttemptOutcome::Silent);
            return match step {
                NextStep::Wait => {
                    let request = self.request(ticket)?;
                    request.silent = request.running.take();
                    request.is_waiting = true;
                    Ok(())
                }
                _ => self.refused(ticket),
            };
        }
        let allowed = self.core.attempt_silent(self.now, ticket).is_ok();
        let request = self.request(ticket)?;
        prop_assert!(
            !allowed || (request.silent.is_none() && request.sent < MAX_ATTEMPTS),
            "an attempt is allowed beside two, or beyond those of the route"
        );
        if allowed {
            request.silent = request.running.take();
            request.is_waiting = true;
        }
        Ok(())
    }

    fn silent_goes_on(&mut self, at: usize) -> Check {
        let Some(ticket) = self.nth(at, |r| r.silent.is_some()) else {
            return Ok(());
        };
        match self.fault {
            InjectedFault::SilentGoesOnReportedAsBroken => {
                let broken = AttemptOutcome::Broken;
                self.core.silent_attempt_ended(self.now, ticket, broken);
            }
            _ => self.core.silent_attempt_resumed(self.now, ticket),
        }
        self.request(ticket)?.keep_silent();
        Ok(())
    }

    fn end_running(&mut self, at: usize, end: AttemptOutcome) -> Check {
        let Some(ticket) = self.nth(at, |r| r.running.is_some()) else {
            return Ok(());
        };
        let step = self.core.attempt_ended(self.now, ticket, end);
        let request = self.request(ticket)?;
        request.running = None;
        if end == AttemptOutcome::NotSent {
            request.sent -= 1;
        }
        match step {
            NextStep::Wait => request.is_waiting = true,
            NextStep::KeepSilent => {
                prop_assert!(request.silent.is_some(), "no attempt is silent");
                request.keep_silent();
            }
            NextStep::Finish if is_end(end) => {
                self.requests.remove(&ticket);
            }
            NextStep::Finish | NextStep::Refuse(_) => return self.refused(ticket),
        }
        Ok(())
    }

    fn end_silent(&mut self, at: usize, end: AttemptOutcome) -> Check {
        let Some(ticket) = self.nth(at, |r| r.silent.is_some()) else {
            return Ok(());
        };
        if self.fault != InjectedFault::SilentEndNotReported {
            let is_known = self.core.silent_attempt_ended(self.now, ticket, end);
            prop_assert!(is_known, "the silent attempt is not known");
        }
        let request = self.request(ticket)?;
        request.silent = None;
        if end == AttemptOutcome::NotSent {
            request.sent -= 1;
        }
        Ok(())
    }

    fn refused(&mut self, ticket: TicketId) -> Check {
        let request = self.request(ticket)?.clone();
        prop_assert!(
            request.running.is_none() && request.silent.is_none(),
            "a request is refused while an attempt of it is open"
        );
        self.requests.remove(&ticket);
        Ok(())
    }

    fn dispatch_waiting(&mut self) -> Check {
        for (ticket, decision) in self.core.dispatch_waiting(self.now) {
            let request = self.request(ticket)?;
            prop_assert!(request.is_waiting, "a decision that nobody waits for");
            request.is_waiting = false;
            match decision {
                Decision::Send(assignment) => {
                    let id = &*assignment.endpoint;
                    let host = ENGINES.iter().position(|engine| engine.0 == id);
                    prop_assert!(request.running.is_none(), "two running attempts");
                    prop_assert_ne!(host, request.silent, "both attempts at one endpoint");
                    prop_assert!(request.sent < MAX_ATTEMPTS, "too many attempts");
                    request.sent += 1;
                    request.running = host;
                }
                Decision::KeepSilent(..) => {
                    prop_assert!(request.silent.is_some(), "no attempt is silent");
                    request.keep_silent();
                }
                Decision::Refuse(..) => self.refused(ticket)?,
            }
        }
        Ok(())
    }

    /// Each open attempt takes a place at its endpoint, and nothing else does.
    fn check_places(&self) -> Check {
        let open = |host| {
            let attempts = self.requests.values().flat_map(|r| [r.running, r.silent]);
            attempts.filter(|at| *at == Some(host)).count()
        };
        let view = self.core.snapshot(self.now);
        for (host, engine) in ENGINES.iter().enumerate() {
            let own = view.endpoints.iter().find(|e| &*e.id == engine.0);
            prop_assert_eq!(
                own.map(|e| e.own as usize),
                Some(open(host)),
                "places at {}",
                engine.0
            );
        }
        prop_assert_eq!(view.requests, self.requests.len());
        Ok(())
    }

    /// Lets all waits run out, and checks that what is left has an open attempt.
    fn finish(&mut self) -> Check {
        self.now += ms(7_000);
        self.dispatch_waiting()?;
        let waiting = self.requests.values().filter(|r| r.running.is_none());
        prop_assert_eq!(waiting.count(), 0, "a request still waits");
        while let Some(ticket) = self.nth(0, |_| true) {
            self.requests.remove(&ticket);
            self.core
                .attempt_ended(self.now, ticket, AttemptOutcome::TimedOut);
        }
        self.check_places()
    }
}

fn run_sequences(fault: InjectedFault) -> Result<(), TestError<Vec<Op>>> {
    let mut runner = TestRunner::new(fuzz_config(CASES));
    runner.run(&proptest::collection::vec(op(), 1..150), |ops| {
        let mut world = World::new(fault);
        ops.iter().try_for_each(|op| world.run(op))?;
        world.finish()
    })
}

/// Guards against requests that end because an endpoint is silent.
#[test]
fn silence_ends_no_request() {
    if let Err(err) = run_sequences(InjectedFault::NoFault) {
        panic!("{err}");
    }
}

#[rstest]
#[case::silence_ends_attempt(InjectedFault::SilenceEndsAttempt)]
#[case::silent_end_not_reported(InjectedFault::SilentEndNotReported)]
#[case::silent_goes_on_reported_as_broken(InjectedFault::SilentGoesOnReportedAsBroken)]
fn an_injected_fault_in_the_report_of_silence_is_detected(#[case] fault: InjectedFault) {
    assert!(run_sequences(fault).is_err());
}
