//! Matches attempts with the crashes of their endpoints.
//!
//! Where an agent runs beside the endpoint, only an agent that saw its endpoint alive can attest its
//! crash: a host without power has no agent to do so, and its next agent has another incarnation. The
//! end of an endpoint without an agent is known from a failed connection or from the list.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::delivery::Suspect;
use crate::types::{EndpointId, InstanceId};

/// Longest time between the break of an attempt and the news of the crash, in either order.
const BREAK_WINDOW: Duration = Duration::from_secs(3);
/// The same for an endpoint without an agent. Its lease expires after three heartbeats, and its next
/// process is listed some seconds after the crash.
const UNATTESTED_BREAK_WINDOW: Duration = Duration::from_secs(6);
/// Time after any other end within which a crash at the endpoint counts as the cause. An answer
/// without length or chunks ends with its connection, so a crash may look like the end, and an
/// abandoned request may still run; agents notice a crash within a few polls.
const END_WINDOW: Duration = Duration::from_millis(300);
/// Maximum number of ended attempts kept: about the answers of an entry in [`END_WINDOW`] at
/// ten times the usual load, and the attempts that a zone's endpoints break at once.
const MAX_ENDED: usize = 1_024;
/// Maximum number of attested crashes kept.
const MAX_ATTESTED: usize = 256;
/// Maximum number of leaving processes kept: those of a region that is replaced at once.
const MAX_LEAVING: usize = 256;

/// An endpoint process, named alike by all entries.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EndpointProcess {
    /// Address of its host.
    pub host: IpAddr,
    /// Start time of the process.
    pub incarnation: InstanceId,
}

impl EndpointProcess {
    /// Instance as it is recorded with the parts; processes that start at the same time on two
    /// hosts have equal incarnations.
    pub fn instance(self) -> InstanceId {
        let mut hash = blake3::Hasher::new();
        hash.update(&self.incarnation.to_le_bytes());
        hash.update(self.host.to_string().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        InstanceId::from_le_bytes(bytes)
    }
}

/// What an agent says about the endpoint on its host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointSight {
    /// It answers, as the process with this incarnation.
    Alive(InstanceId),
    /// It accepts no connections.
    Down,
    /// It did not answer in time, which does not tell whether it runs.
    Unknown,
}

/// What follows from the report of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Attested {
    /// The process has crashed.
    Crashed(EndpointProcess),
    /// The process whose crash was attested before is alive.
    Alive(EndpointProcess),
}

/// An attempt whose endpoint may turn out to have crashed.
#[derive(Clone, Debug)]
pub(super) struct EndedAttempt {
    pub at: Instant,
    pub endpoint: EndpointId,
    pub process: EndpointProcess,
    /// Suspects of its request.
    pub suspects: Arc<[Suspect]>,
    pub end: AttemptEnd,
}

/// How an attempt ended that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptEnd {
    /// With a complete and successful answer.
    Answered,
    /// The connection broke.
    Broken,
    /// It was abandoned or answered with an error.
    Other,
}

/// Last report of an agent.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    agent: InstanceId,
    /// Last incarnation of the endpoint that answered this agent.
    alive: Option<InstanceId>,
    /// True when the crash of `alive` has been attested.
    is_crashed: bool,
}

/// Recently ended attempts and attested crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashWatch {
    reports: BTreeMap<IpAddr, LastReport>,
    /// Processes that were listed as leaving, oldest first. Their end is planned.
    ///
    /// Invariant: at most [`MAX_LEAVING`], each once.
    leaving: VecDeque<EndpointProcess>,
    /// Oldest first.
    ///
    /// Invariant: at most [`MAX_ENDED`].
    ended: VecDeque<EndedAttempt>,
    /// Oldest first.
    ///
    /// Invariant: at most [`MAX_ATTESTED`].
    attested: VecDeque<(Instant, EndpointProcess)>,
}

impl CrashWatch {
    /// Applies the report of an agent with incarnation `agent`.
    pub fn report(
        &mut self,
        now: Instant,
        host: IpAddr,
        agent: InstanceId,
        sight: EndpointSight,
    ) -> Option<Attested> {
        let fresh = LastReport {
            agent,
            alive: None,
            is_crashed: false,
        };
        let last = self.reports.entry(host).or_insert(fresh);
        if last.agent != agent {
            *last = fresh;
        }
        let before = last
            .alive
            .map(|incarnation| EndpointProcess { host, incarnation });
        match sight {
            EndpointSight::Unknown => None,
            EndpointSight::Down => {
                let crashed = before.filter(|_| !last.is_crashed)?;
                last.is_crashed = true;
                self.attest(now, crashed)
            }
            EndpointSight::Alive(incarnation) => {
                let was_crashed = std::mem::replace(&mut last.is_crashed, false);
                last.alive = Some(incarnation);
                match before {
                    Some(before) if before.incarnation == incarnation => {
                        was_crashed.then(|| self.retract(before))
                    }
                    Some(before) if !was_crashed => self.attest(now, before),
                    _ => None,
                }
            }
        }
    }

    /// Records an ended attempt, or returns it when the crash of its endpoint is known already.
    pub fn attempt_ended(&mut self, attempt: EndedAttempt) -> Option<EndedAttempt> {
        let window = self.crash_window(&attempt);
        let is_crashed = self.attested.iter().any(|(at, process)| {
            *process == attempt.process && attempt.at.saturating_duration_since(*at) <= window
        });
        if is_crashed {
            return Some(attempt);
        }
        self.ended.push_back(attempt);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        None
    }

    /// Takes the attempts that ended with the crash of a process.
    pub fn take_crashed(&mut self, now: Instant, process: EndpointProcess) -> Vec<EndedAttempt> {
        self.take(now, |attempt, is_settled| {
            attempt.process == process && !is_settled
        })
    }

    /// Takes the attempts that broke at a process whose end is known from a failed connection or from
    /// the list; none where an agent could attest it, and none of a process that was leaving.
    pub fn take_unattested(&mut self, now: Instant, process: EndpointProcess) -> Vec<EndedAttempt> {
        if self.reports.contains_key(&process.host) || self.leaving.contains(&process) {
            return Vec::new();
        }
        self.take(now, |attempt, is_settled| {
            attempt.process == process && attempt.end == AttemptEnd::Broken && !is_settled
        })
    }

    /// Takes the attempts whose end no crash explains any more.
    pub fn take_settled(&mut self, now: Instant) -> Vec<EndedAttempt> {
        match self
            .ended
            .iter()
            .any(|attempt| self.is_settled(now, attempt))
        {
            true => self.take(now, |_, is_settled| is_settled),
            false => Vec::new(),
        }
    }

    /// Takes the ended attempts for which `is_taken` is true, given whether they are settled.
    fn take(
        &mut self,
        now: Instant,
        is_taken: impl Fn(&EndedAttempt, bool) -> bool,
    ) -> Vec<EndedAttempt> {
        let (taken, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|attempt| is_taken(attempt, self.is_settled(now, attempt)));
        self.ended = others.into();
        taken
    }

    /// True when no crash explains the end of the attempt any more.
    fn is_settled(&self, now: Instant, attempt: &EndedAttempt) -> bool {
        now.saturating_duration_since(attempt.at) > self.crash_window(attempt)
    }

    /// Longest time between the end of an attempt and the news of the crash that is its cause.
    fn crash_window(&self, attempt: &EndedAttempt) -> Duration {
        match attempt.end {
            AttemptEnd::Broken if self.reports.contains_key(&attempt.process.host) => BREAK_WINDOW,
            AttemptEnd::Broken => UNATTESTED_BREAK_WINDOW,
            AttemptEnd::Answered | AttemptEnd::Other => END_WINDOW,
        }
    }

    /// Handles a process that is listed as leaving; its end is no crash.
    pub fn leaving(&mut self, process: EndpointProcess) {
        if !self.leaving.contains(&process) {
            self.leaving.push_back(process);
            if self.leaving.len() > MAX_LEAVING {
                self.leaving.pop_front();
            }
        }
    }

    fn attest(&mut self, now: Instant, process: EndpointProcess) -> Option<Attested> {
        if self.leaving.contains(&process) {
            return None;
        }
        self.attested.push_back((now, process));
        if self.attested.len() > MAX_ATTESTED {
            self.attested.pop_front();
        }
        Some(Attested::Crashed(process))
    }

    fn retract(&mut self, process: EndpointProcess) -> Attested {
        self.attested.retain(|(_, attested)| *attested != process);
        Attested::Alive(process)
    }
}
