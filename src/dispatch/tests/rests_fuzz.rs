//! Random worlds of entries that share an endpoint which asks for rest, leaves and restarts, checked against an
//! oracle that knows what was said to each entry.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestError, TestRunner};
use rstest::rstest;

use super::fixture::*;
use crate::codes::Code;
use crate::dispatch::*;
use crate::fuzz_config::fuzz_config;

/// Number of generated histories per run.
const CASES: u32 = 192;
const ENTRIES: usize = 3;
/// Endpoint that asks for rest and leaves, and one of the same service that does neither.
const MOODY: &str = "d1";
const OTHER: &str = "d2";
/// Longest rest that is kept.
const MAX_REST: Duration = ms(60_000);
/// Time after which each rest is over, with its spread.
const ALL_RESTED: Duration = ms(61_000);

/// Operation of a history; entries are given by index.
#[derive(Clone, Debug)]
enum Op {
    Advance(u16),
    /// An entry gets a request, which it sends at once or begins to connect for.
    Request(usize, bool),
    /// The connection of an entry's oldest assigned request stands.
    Connect(usize),
    /// The answer to one of an entry's requests arrives, however long ago it was sent.
    Answer(usize, usize),
    /// The endpoint turns requests away and asks for a rest of so many milliseconds, or takes them.
    AskForRest(Option<u32>),
    /// The endpoint asks for a rest that can't be read.
    AskForInvalidRest,
    Leave,
    Restart,
    /// An entry reads the list.
    List(usize),
    /// An entry reads an older copy of the list, in which the endpoint is ready; with `true`, its process before.
    ListOlder(usize, bool),
    /// The list that an entry reads lacks the endpoint.
    Unlist(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..ENTRIES;
    let rest = prop_oneof![
        2 => Just(None),
        6 => (1u32..8_000).prop_map(Some),
        1 => Just(Some(86_400_000)),
    ];
    prop_oneof![
        6 => (0u16..900).prop_map(Op::Advance),
        12 => (entry.clone(), any::<bool>()).prop_map(|(at, connects)| Op::Request(at, connects)),
        4 => entry.clone().prop_map(Op::Connect),
        10 => (entry.clone(), 0usize..8).prop_map(|(at, n)| Op::Answer(at, n)),
        2 => rest.prop_map(Op::AskForRest),
        1 => Just(Op::AskForInvalidRest),
        1 => Just(Op::Leave),
        1 => Just(Op::Restart),
        2 => entry.clone().prop_map(Op::List),
        1 => (entry.clone(), any::<bool>()).prop_map(|(at, before)| Op::ListOlder(at, before)),
        1 => entry.prop_map(Op::Unlist),
    ]
}

/// How the entries deviate from what they should do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    NoFault,
    /// They do not read rests.
    RestNotRead,
    /// They take a rest for half as long as it is.
    RestShortened,
    /// They do not read announcements of leaving.
    LeavingNotRead,
    /// They do not ask again before they send.
    SentWithoutAsking,
    /// They take what is said for the next process too.
    HeldAgainstNextProcess,
}

/// What a process of the endpoint has said to an entry.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    rests_until: Option<Instant>,
    leaves: bool,
}

/// A request that has reached an endpoint.
struct Sent {
    ticket: TicketId,
    at: Instant,
    /// Process of the endpoint that it reached, and the one that the entry knew then; `None` at the other
    /// endpoint.
    process: Option<(u64, u64)>,
    /// What the endpoint says in its answer.
    statement: Statement,
}

struct Entry {
    core: Dispatcher,
    /// Incarnation by the list.
    listed: u64,
    /// Assigned requests whose connections do not stand yet, with the incarnation that was known.
    connecting: Vec<(TicketId, Assignment, u64)>,
    sent: Vec<Sent>,
    /// By incarnation.
    told: HashMap<u64, Told>,
}

struct World {
    now: Instant,
    fault: InjectedFault,
    entries: [Entry; ENTRIES],
    incarnation: u64,
    leaves: bool,
    rest: RestStatement,
}

type Check = Result<(), TestCaseError>;

impl World {
    fn new(fault: InjectedFault) -> Self {
        let now = Instant::now();
        let entries = std::array::from_fn(|seed| Entry {
            core: core_with_seed(now, seed as u64),
            listed: 1,
            connecting: Vec::new(),
            sent: Vec::new(),
            told: HashMap::new(),
        });
        Self {
            now,
            fault,
            entries,
            incarnation: 1,
            leaves: false,
            rest: RestStatement::NotAsked,
        }
    }

    fn run(&mut self, op: &Op) -> Check {
        match op {
            Op::Advance(millis) => self.now += ms((*millis).into()),
            Op::Request(at, connects) => return self.request(*at, *connects),
            Op::Connect(at) => return self.connect(*at),
            Op::Answer(at, n) => return self.answer(*at, *n),
            Op::AskForRest(rest) => {
                let rest = rest.map(|millis| RestStatement::For(ms(millis.into())));
                self.rest = rest.unwrap_or_default();
            }
            Op::AskForInvalidRest => self.rest = RestStatement::Invalid("soon".into()),
            Op::Leave => self.leaves = true,
            Op::Restart => {
                self.incarnation += 1;
                self.leaves = false;
                self.rest = RestStatement::NotAsked;
            }
            Op::List(at) => self.list(*at, self.incarnation, self.leaves),
            Op::ListOlder(at, before) => {
                self.list(*at, self.incarnation - u64::from(*before), false);
            }
            Op::Unlist(at) => {
                let now = self.now;
                self.entries[*at].core.remove_endpoint(now, MOODY, false);
            }
        }
        Ok(())
    }

    fn list(&mut self, at: usize, incarnation: u64, is_leaving: bool) {
        let entry = &mut self.entries[at];
        let desk = ListedEndpoint {
            incarnation,
            is_leaving,
            ..listed(MOODY, "desk", 11, "north")
        };
        entry.listed = incarnation;
        entry.core.update_endpoint(self.now, desk);
        if is_leaving {
            entry.told.entry(incarnation).or_default().leaves = true;
        }
    }

    fn request(&mut self, at: usize, connects: bool) -> Check {
        let ticket = self.entries[at]
            .core
            .admit(self.now, &request("look"))
            .unwrap();
        self.dispatch(at, Some(ticket).filter(|_| connects))
    }

    /// Lets an entry decide; `connecting` is a request whose connection does not stand at once.
    fn dispatch(&mut self, at: usize, connecting: Option<TicketId>) -> Check {
        let now = self.now;
        let entry = &mut self.entries[at];
        let mut assigned = Vec::new();
        for (ticket, decision) in entry.core.dispatch_waiting(now) {
            match decision {
                Decision::Send(assignment) => assigned.push((ticket, assignment, entry.listed)),
                Decision::Refuse(refusal, _) => prop_assert!(
                    refusal.code != Code::NoneAccepts || refusal.retry_after.is_some(),
                    "callers are not told when to return"
                ),
                Decision::KeepSilent(..) => {
                    return Err(TestCaseError::fail("no attempt is silent here"));
                }
            }
        }
        for request in assigned {
            match connecting == Some(request.0) {
                true => self.entries[at].connecting.push(request),
                false => self.send(at, request)?,
            }
        }
        Ok(())
    }

    fn connect(&mut self, at: usize) -> Check {
        if self.entries[at].connecting.is_empty() {
            return Ok(());
        }
        let request = self.entries[at].connecting.remove(0);
        self.send(at, request)
    }

    /// Sends an assigned request unless the entry withdraws it.
    fn send(
        &mut self,
        at: usize,
        (ticket, assignment, known): (TicketId, Assignment, u64),
    ) -> Check {
        let (now, fault) = (self.now, self.fault);
        let entry = &mut self.entries[at];
        let may_send = entry.core.may_send(now, ticket, &assignment.endpoint);
        if fault != InjectedFault::SentWithoutAsking && !may_send {
            entry
                .core
                .attempt_ended(now, ticket, AttemptOutcome::Withdrawn);
            return self.dispatch(at, None);
        }
        let is_moody = &*assignment.endpoint == MOODY;
        if is_moody {
            let told = entry.told.get(&self.incarnation);
            let told = told.copied().unwrap_or_default();
            // An entry that the list has led to another process does not know which one it reaches.
            if entry.listed == self.incarnation {
                let rests = told.rests_until.is_some_and(|until| now < until);
                prop_assert!(!rests, "a request reaches a resting endpoint");
                prop_assert!(!told.leaves, "a request reaches a leaving endpoint");
            }
        }
        let statement = Statement {
            rest: self.rest.clone(),
            is_leaving: self.leaves,
            ..Default::default()
        };
        entry.sent.push(Sent {
            ticket,
            at: now,
            process: is_moody.then_some((self.incarnation, known)),
            statement: if is_moody {
                statement
            } else {
                Statement::default()
            },
        });
        Ok(())
    }

    fn answer(&mut self, at: usize, n: usize) -> Check {
        let (now, fault) = (self.now, self.fault);
        let entry = &mut self.entries[at];
        if entry.sent.is_empty() {
            return Ok(());
        }
        let sent = entry.sent.remove(n % entry.sent.len());
        let is_refused = sent.statement.rest != RestStatement::NotAsked;
        // What a process says that the entry takes for another one is kept with that one.
        if let Some((process, known)) = sent.process
            && process == known
        {
            let told = entry.told.entry(process).or_default();
            told.leaves |= sent.statement.is_leaving;
            if let RestStatement::For(rest) = sent.statement.rest {
                let until = sent.at + rest.min(MAX_REST);
                told.rests_until = told.rests_until.max(Some(until));
            }
        }
        let mut statement = sent.statement;
        match (fault, &mut statement.rest) {
            (InjectedFault::RestNotRead, rest) => *rest = RestStatement::NotAsked,
            (InjectedFault::RestShortened, RestStatement::For(rest)) => *rest /= 2,
            (InjectedFault::LeavingNotRead, _) => statement.is_leaving = false,
            (InjectedFault::HeldAgainstNextProcess, _) if statement.is_leaving => {
                self.list(at, self.incarnation + 1, true);
                self.list(at, self.incarnation, true);
            }
            _ => {}
        }
        let entry = &mut self.entries[at];
        entry.core.record_statement(now, sent.ticket, &statement);
        let outcome = match is_refused {
            true => AttemptOutcome::NotRun { is_full: true },
            false => AttemptOutcome::Answered,
        };
        entry.core.attempt_ended(now, sent.ticket, outcome);
        self.dispatch(at, None)
    }

    /// The next process is used again by all entries.
    fn check_end(&mut self) -> Check {
        for at in 0..ENTRIES {
            while !self.entries[at].connecting.is_empty() {
                self.connect(at)?;
            }
            while !self.entries[at].sent.is_empty() {
                self.answer(at, 0)?;
            }
            // Otherwise requests may go to the other endpoint.
            let now = self.now;
            self.entries[at].core.remove_endpoint(now, OTHER, false);
        }
        self.run(&Op::Restart)?;
        (0..ENTRIES).for_each(|at| self.list(at, self.incarnation, false));
        self.now += ALL_RESTED;
        for at in 0..ENTRIES {
            self.dispatch(at, None)?;
            self.request(at, false)?;
            let incarnation = self.incarnation;
            let mut sent = self.entries[at].sent.iter();
            let is_used = sent.any(|sent| sent.process.is_some_and(|(p, _)| p == incarnation));
            prop_assert!(is_used, "the next process is not used");
        }
        Ok(())
    }
}

fn run_histories(fault: InjectedFault) -> Result<(), TestError<Vec<Op>>> {
    let mut runner = TestRunner::new(fuzz_config(CASES));
    runner.run(&proptest::collection::vec(op(), 1..200), |ops| {
        let mut world = World::new(fault);
        for op in &ops {
            world.run(op)?;
        }
        world.check_end()
    })
}

#[test]
fn random_histories_violate_no_invariant() {
    if let Err(err) = run_histories(InjectedFault::NoFault) {
        panic!("{err}");
    }
}

#[rstest]
#[case::rest_not_read(InjectedFault::RestNotRead, "resting endpoint")]
#[case::rest_shortened(InjectedFault::RestShortened, "resting endpoint")]
#[case::leaving_not_read(InjectedFault::LeavingNotRead, "leaving endpoint")]
#[case::sent_without_asking(InjectedFault::SentWithoutAsking, "a request reaches a")]
#[case::held_against_next_process(
    InjectedFault::HeldAgainstNextProcess,
    "the next process is not used"
)]
fn an_injected_fault_is_detected(#[case] fault: InjectedFault, #[case] message: &str) {
    let err = run_histories(fault).unwrap_err().to_string();
    assert!(err.contains(message), "{err}");
}
