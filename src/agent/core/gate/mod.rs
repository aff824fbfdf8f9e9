//! The only gate to one endpoint: what runs there, what waits, and how much it bears.

mod capacity;
mod clearance;
mod flow;
mod phase;
mod work;

pub use capacity::{Capacity, EVIDENCE_LIFE};
pub use clearance::ORDER_LIFE;
pub use phase::Phase;
pub use work::{RunState, Running, Ticket};

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::power::PowerModel;
use crate::types::{AttemptId, Digest, Generation, InstanceId, Milliwatts};
use crate::wire::EndpointReport;

use super::{EndpointConfig, EndpointKind, EndpointProbe};
use clearance::Clearance;
use phase::Down;

/// Failed probes in a row after which an endpoint is down.
const PROBES_LOST_MAX: u32 = 2;

/// Wait before a load order is repeated.
const LOAD_RETRY: Duration = Duration::from_secs(2);

/// Something that the gate wants done with an attempt.
#[derive(Clone, Debug)]
pub enum GateStep {
    /// Pass the attempt on.
    Admit(AttemptId),
    /// Refuse the attempt, which has not run.
    Refuse(Box<Ticket>, Code),
    /// Pause the attempt.
    Pause(AttemptId),
    /// Resume the attempt.
    Resume(AttemptId),
}

/// Gate to one endpoint.
#[derive(Debug)]
pub struct Gate {
    cfg: EndpointConfig,
    phase: Phase,
    clearance: Clearance,
    instance: Option<InstanceId>,
    capacity: Capacity,
    power: PowerModel,
    /// Share of the site's power; `None` when none was given.
    grant: Option<Milliwatts>,
    /// Attempts that the endpoint holds.
    ///
    /// Invariant: an attempt leaves exactly once, so late and doubled reports count nothing.
    running: BTreeMap<AttemptId, Running>,
    /// Attempts that wait, in the order in which they are admitted.
    queue: Vec<Ticket>,
    probes_lost: u32,
    progress_permille: u32,
}

impl Gate {
    /// A gate to an endpoint of which nothing is known yet.
    pub fn new(cfg: EndpointConfig, now: Instant) -> Self {
        Self {
            clearance: Clearance::new(cfg.checks_fencing, now),
            phase: Phase::Down(Down::unknown()),
            instance: None,
            capacity: Capacity::new(cfg.cold_limit, cfg.limit, cfg.warm_up_answers),
            power: PowerModel::new(cfg.idle_power_mw, cfg.millijoules_per_token),
            grant: None,
            running: BTreeMap::new(),
            queue: Vec::new(),
            probes_lost: 0,
            progress_permille: 0,
            cfg,
        }
    }

    /// Settings of the endpoint.
    pub fn cfg(&self) -> &EndpointConfig {
        &self.cfg
    }

    /// State of the endpoint.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Instance of the endpoint's process that was seen last.
    pub fn instance(&self) -> Option<InstanceId> {
        self.instance
    }

    /// Attempts that the endpoint holds.
    pub fn running(&self) -> &BTreeMap<AttemptId, Running> {
        &self.running
    }

    /// Requests that the endpoint bears at `now` by its capacity and its share of power.
    pub fn limit(&self, now: Instant) -> u32 {
        if self.phase.is_serving() {
            self.bound(now)
        } else {
            0
        }
    }

    /// Earliest time at which a waiting attempt has to be refused or an order repeated.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let retry_at = match &self.phase {
            Phase::Down(state) => state.retry_at,
            _ => None,
        };
        let deadlines = self.queue.iter().map(|ticket| ticket.deadline);
        deadlines.chain(retry_at).min()
    }

    /// Report for entries.
    pub fn report(&self, now: Instant) -> EndpointReport {
        EndpointReport {
            endpoint: self.cfg.id.to_string(),
            target: Some(self.cfg.target.to_string()),
            instance: self.instance.unwrap_or(0),
            state: self.phase.state(),
            version: self.phase.version().map(ToString::to_string),
            limit: self.limit(now),
            in_flight: self.active(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            first_token_ms: u32::try_from(self.capacity.first_token().as_millis())
                .unwrap_or(u32::MAX),
            power_mw: Some(self.power.draw(self.active())),
            full_power_mw: Some(PowerModel::full_load(&self.cfg)),
            progress_permille: Some(self.progress_permille),
        }
    }

    /// The first token of an attempt arrived. Returns true when it jumped.
    pub fn started(&mut self, now: Instant, attempt: &str) -> bool {
        let Some(running) = self.running.get_mut(attempt) else {
            return false;
        };
        let Some(first_token) = running.started(now) else {
            return false;
        };
        let jumped = self
            .capacity
            .started(now, first_token, running.ticket.first_token);
        if jumped {
            self.cool();
        }
        jumped
    }

    /// The whole answer of an attempt arrived.
    pub fn answered(&mut self, now: Instant, attempt: &str, tokens: u32) -> Option<Running> {
        self.started(now, attempt);
        let running = self.running.remove(attempt)?;
        if let Some((first_token, span)) = running.spans(now) {
            let target = running.ticket.first_token;
            self.capacity.completed(now, first_token, target);
            self.power.record_answer(tokens, span);
        }
        self.warm();
        Some(running)
    }

    /// The attempt ended without a whole answer.
    pub fn broken(&mut self, attempt: &str, maybe_sent: bool) -> Option<Running> {
        let running = self.running.remove(attempt)?;
        if maybe_sent && running.state != RunState::Cancelling {
            self.capacity.collapse();
            self.cool();
        }
        Some(running)
    }

    /// Frees the place of a cancelled attempt; false for any other.
    pub fn cancelled(&mut self, attempt: &str) -> bool {
        let is_cancelling = |run: &Running| run.state == RunState::Cancelling;
        let was = self.running.get(attempt).is_some_and(is_cancelling);
        if was {
            self.running.remove(attempt);
        }
        was
    }

    /// Notes that the endpoint paused the attempt.
    pub fn paused(&mut self, attempt: &str) {
        if let Some(running) = self.running.get_mut(attempt)
            && running.state == RunState::Pausing
        {
            running.state = RunState::Paused;
        }
    }

    /// Withdraws an attempt whose reader is gone. Returns true when the endpoint must cancel it.
    pub fn withdraw(&mut self, attempt: &str) -> bool {
        self.queue.retain(|ticket| &*ticket.attempt != attempt);
        match self.running.get_mut(attempt) {
            Some(running) if running.state != RunState::Cancelling => {
                running.state = RunState::Cancelling;
                true
            }
            _ => false,
        }
    }

    /// Takes in a probe. Returns the earlier instance when the endpoint restarted.
    pub fn probed(&mut self, now: Instant, probe: Option<EndpointProbe>) -> Option<InstanceId> {
        let Some(probe) = probe else {
            self.probe_lost();
            return None;
        };
        self.probes_lost = 0;
        let earlier = self.instance.replace(probe.instance);
        let restarted = earlier.filter(|instance| *instance != probe.instance);
        if restarted.is_some() {
            self.capacity.collapse();
        }
        self.capacity.seen(now);
        self.power
            .record_report(probe.power, probe.running, self.active());
        self.observe(probe.version, restarted.is_some());
        restarted
    }

    /// Sets the share of the site's power.
    pub fn set_grant(&mut self, grant: Option<Milliwatts>) {
        self.grant = grant;
    }

    /// Sets the verified share of the wanted version's chunks.
    pub fn set_progress(&mut self, permille: u32) {
        self.progress_permille = permille;
    }

    /// Stops taking work; returns what waited.
    pub fn leave(&mut self) -> Vec<GateStep> {
        let version = self.phase.version().cloned();
        self.phase = Phase::Leaving(phase::Leaving { version });
        self.refuse_queue(Code::EndpointLeaving)
    }

    /// Refuses everything that waits.
    pub fn refuse_queue(&mut self, code: Code) -> Vec<GateStep> {
        self.queue
            .drain(..)
            .map(|ticket| GateStep::Refuse(Box::new(ticket), code))
            .collect()
    }

    /// Starts the switch to a version; the endpoint drains first.
    pub fn load(&mut self, version: Digest, fence: Generation) -> Vec<GateStep> {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Down(Down::unknown())) {
            Phase::Leaving(state) => Phase::Leaving(state),
            Phase::Down(state) => Phase::Loading(state.load(version, fence)),
            Phase::Loading(_) | Phase::Cold(_) | Phase::Ready(_) => {
                Phase::Loading(Down::unknown().load(version, fence))
            }
        };
        self.refuse_queue(Code::WrongVersion)
    }

    /// The load order that is due: the endpoint has drained and the order was not sent yet.
    pub fn due_order(&mut self, now: Instant) -> Option<(Digest, Generation)> {
        match &mut self.phase {
            Phase::Loading(state) if !state.ordered && self.running.is_empty() => {
                state.ordered = true;
                self.clearance.sent(now);
                Some((state.version.clone(), state.fence))
            }
            _ => None,
        }
    }

    /// True when a load order may be started at `now`; probes ask again and again.
    pub fn can_load(&self, now: Instant) -> bool {
        let may_start = match &self.phase {
            Phase::Down(state) => state.reachable && state.retry_at.is_none_or(|at| at <= now),
            Phase::Cold(_) | Phase::Ready(_) => true,
            Phase::Loading(_) | Phase::Leaving(_) => false,
        };
        may_start && self.clearance.is_given(now)
    }

    /// Takes in the answer to a load order.
    pub fn loaded(&mut self, now: Instant, version: Option<Digest>, fence: Generation) {
        let Phase::Loading(state) = &self.phase else {
            return;
        };
        if state.fence != fence || !state.ordered {
            return;
        }
        let state = state.clone();
        self.capacity.collapse();
        self.phase = match version {
            Some(version) if version == state.version => {
                self.clearance.took_effect();
                Phase::Cold(state.loaded())
            }
            _ => Phase::Down(state.failed(now + LOAD_RETRY)),
        };
    }

    /// Number of attempts that load the endpoint.
    fn active(&self) -> u32 {
        let count = self.running.values().filter(|run| run.is_active()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn bound(&self, now: Instant) -> u32 {
        self.capacity.limit(now).min(self.power_limit())
    }

    fn clear_retry(&mut self, now: Instant) {
        if let Phase::Down(state) = &mut self.phase {
            state.retry_at = state.retry_at.filter(|at| *at > now);
        }
    }

    fn power_limit(&self) -> u32 {
        let Some(grant) = self.grant else {
            return u32::MAX;
        };
        let lone = u32::from(self.power.fits_one_stream(grant));
        self.power.streams_within(grant).max(lone)
    }

    fn probe_lost(&mut self) {
        self.probes_lost += 1;
        self.capacity.collapse();
        self.cool();
        let gone = self.probes_lost >= PROBES_LOST_MAX;
        if gone && !matches!(self.phase, Phase::Leaving(_)) {
            self.phase = Phase::Down(Down::unknown());
        }
    }

    /// Follows the version that the endpoint reports.
    fn observe(&mut self, version: Option<Digest>, restarted: bool) {
        let model = self.cfg.kind == EndpointKind::Model;
        let empty = model && version.is_none();
        let phase = std::mem::replace(&mut self.phase, Phase::Down(Down::unknown()));
        self.phase = match phase {
            Phase::Leaving(state) => Phase::Leaving(state),
            Phase::Loading(state) if state.ordered && !restarted => Phase::Loading(state),
            Phase::Loading(state) if !state.ordered && !empty => Phase::Loading(state),
            Phase::Down(state) if empty => Phase::Down(Down {
                reachable: true,
                ..state
            }),
            _ if empty => Phase::Down(Down {
                reachable: true,
                retry_at: None,
            }),
            Phase::Down(state) => Phase::Cold(state.seen(version)),
            Phase::Loading(_) => Phase::Cold(Down::unknown().seen(version)),
            Phase::Cold(state) if state.version == version => Phase::Cold(state),
            Phase::Ready(state) if state.version == version && !restarted => Phase::Ready(state),
            Phase::Cold(_) | Phase::Ready(_) => {
                self.capacity.collapse();
                Phase::Cold(Down::unknown().seen(version))
            }
        };
    }

    fn cool(&mut self) {
        if let Phase::Ready(state) = &self.phase {
            self.phase = Phase::Cold(state.clone().cooled());
        }
    }

    fn warm(&mut self) {
        if let Phase::Cold(state) = &self.phase
            && self.capacity.is_warm()
        {
            self.phase = Phase::Ready(state.clone().warmed());
        }
    }
}
