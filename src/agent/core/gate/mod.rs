//! Admission control for one endpoint: its queue, its running attempts, its concurrency limit and
//! its life cycle.

mod attempt;
mod capacity;
mod load_order_guard;
mod phase;
mod scheduling;

pub use attempt::{AttemptSpec, AttemptState, RunningAttempt};
pub use capacity::{Capacity, EVIDENCE_TTL};
pub use load_order_guard::LOAD_ORDER_TTL;
pub use phase::Phase;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::power::PowerModel;
use crate::types::{AttemptId, Digest, Generation, InstanceId, Milliwatts};
use crate::wire::EndpointReport;

use super::{EndpointConfig, EndpointKind, EndpointProbe};
use load_order_guard::LoadOrderGuard;
use phase::Down;

/// Consecutive failed probes after which an endpoint is down.
const MAX_FAILED_PROBES: u32 = 2;

/// Wait after a failed load order before the next one.
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(2);

/// What the agent must do with an attempt.
#[derive(Clone, Debug)]
pub enum GateAction {
    /// Forward the attempt to the endpoint.
    Admit(AttemptId),
    /// Refuse the attempt, which was queued and has not run.
    Refuse(Box<AttemptSpec>, Code),
    /// Pause the attempt at the endpoint.
    Pause(AttemptId),
    /// Resume the attempt at the endpoint.
    Resume(AttemptId),
}

/// Admission control and life cycle of one endpoint.
#[derive(Debug)]
pub struct Gate {
    cfg: EndpointConfig,
    phase: Phase,
    load_order_guard: LoadOrderGuard,
    /// Incarnation of the endpoint's process that the last successful probe reported.
    instance: Option<InstanceId>,
    capacity: Capacity,
    power: PowerModel,
    /// Power granted from the site's budget; `None` when the endpoint is not limited.
    grant: Option<Milliwatts>,
    /// Attempts that were admitted and have not ended.
    ///
    /// Invariant: an attempt is removed exactly once, so late and duplicate reports of its end
    /// have no effect.
    running: BTreeMap<AttemptId, RunningAttempt>,
    /// Waiting attempts, in the order in which they are admitted.
    queue: Vec<AttemptSpec>,
    /// Consecutive failed probes.
    failed_probes: u32,
    /// Share of the chunks of the version being fetched that the host has verified.
    progress_permille: u32,
}

impl Gate {
    /// Creates the gate of an endpoint whose state is not known yet.
    pub fn new(cfg: EndpointConfig, now: Instant) -> Self {
        Self {
            load_order_guard: LoadOrderGuard::new(cfg.checks_fencing, now),
            phase: Phase::Down(Down::unknown()),
            instance: None,
            capacity: Capacity::new(cfg.cold_limit, cfg.limit, cfg.warm_up_answers),
            power: PowerModel::new(cfg.idle_power_mw, cfg.millijoules_per_token),
            grant: None,
            running: BTreeMap::new(),
            queue: Vec::new(),
            failed_probes: 0,
            progress_permille: 0,
            cfg,
        }
    }

    /// Configuration of the endpoint.
    pub fn cfg(&self) -> &EndpointConfig {
        &self.cfg
    }

    /// Life-cycle state of the endpoint.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Incarnation of the endpoint's process that the last successful probe reported.
    pub fn instance(&self) -> Option<InstanceId> {
        self.instance
    }

    /// Attempts that were admitted and have not ended.
    pub fn running(&self) -> &BTreeMap<AttemptId, RunningAttempt> {
        &self.running
    }

    /// Concurrency limit at `now`, from the endpoint's capacity and its power grant; 0 when it
    /// does not serve.
    pub fn limit(&self, now: Instant) -> u32 {
        if self.phase.is_serving() {
            self.concurrency_limit(now)
        } else {
            0
        }
    }

    /// Earliest time at which a queued attempt expires or a load order may be repeated.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let retry_at = match &self.phase {
            Phase::Down(state) => state.retry_at,
            _ => None,
        };
        let deadlines = self.queue.iter().map(|spec| spec.deadline);
        deadlines.chain(retry_at).min()
    }

    /// State of the endpoint as the agent reports it to entries.
    pub fn report(&self, now: Instant) -> EndpointReport {
        EndpointReport {
            endpoint: self.cfg.id.to_string(),
            target: Some(self.cfg.target.to_string()),
            instance: self.instance.unwrap_or(0),
            state: self.phase.state(),
            version: self.phase.version().map(ToString::to_string),
            limit: self.limit(now),
            in_flight: self.active_count(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            first_token_ms: u32::try_from(self.capacity.first_token().as_millis())
                .unwrap_or(u32::MAX),
            power_mw: Some(self.power.draw(self.active_count())),
            full_power_mw: Some(PowerModel::full_load(&self.cfg)),
            progress_permille: Some(self.progress_permille),
        }
    }

    /// Handles the first token of an attempt. Returns true when the time to it exceeded both the
    /// target and a multiple of the endpoint's average; the endpoint then counts as cold.
    pub fn on_started(&mut self, now: Instant, attempt: &str) -> bool {
        let Some(running) = self.running.get_mut(attempt) else {
            return false;
        };
        let Some(first_token) = running.record_first_token(now) else {
            return false;
        };
        let spiked =
            self.capacity
                .record_first_token(now, first_token, running.spec.first_token_target);
        if spiked {
            self.mark_cold();
        }
        spiked
    }

    /// Handles a complete answer. Returns the attempt when it was running.
    pub fn on_answered(
        &mut self,
        now: Instant,
        attempt: &str,
        tokens: u32,
    ) -> Option<RunningAttempt> {
        self.on_started(now, attempt);
        let running = self.running.remove(attempt)?;
        if let Some((first_token, generation_time)) = running.durations(now) {
            let target = running.spec.first_token_target;
            self.capacity.record_answer(now, first_token, target);
            self.power.record_answer(tokens, generation_time);
        }
        self.mark_ready_if_warm();
        Some(running)
    }

    /// Handles the end of an attempt without a complete answer; `maybe_sent` is false when it
    /// certainly did not reach the endpoint. Returns the attempt when it was running.
    pub fn on_broken(&mut self, attempt: &str, maybe_sent: bool) -> Option<RunningAttempt> {
        let running = self.running.remove(attempt)?;
        if maybe_sent && running.state != AttemptState::Cancelling {
            self.capacity.reset();
            self.mark_cold();
        }
        Some(running)
    }

    /// Frees the slot of a cancelled attempt. Returns false when the attempt was not being
    /// cancelled.
    pub fn on_cancelled(&mut self, attempt: &str) -> bool {
        let is_cancelling = |run: &RunningAttempt| run.state == AttemptState::Cancelling;
        let was_cancelling = self.running.get(attempt).is_some_and(is_cancelling);
        if was_cancelling {
            self.running.remove(attempt);
        }
        was_cancelling
    }

    /// Handles the endpoint's confirmation of a pause.
    pub fn on_paused(&mut self, attempt: &str) {
        if let Some(running) = self.running.get_mut(attempt)
            && running.state == AttemptState::Pausing
        {
            running.state = AttemptState::Paused;
        }
    }

    /// Drops a queued attempt, or marks a running one as being cancelled. Returns true when the
    /// endpoint must be asked to cancel it.
    pub fn withdraw(&mut self, attempt: &str) -> bool {
        self.queue.retain(|spec| &*spec.attempt != attempt);
        match self.running.get_mut(attempt) {
            Some(running) if running.state != AttemptState::Cancelling => {
                running.state = AttemptState::Cancelling;
                true
            }
            _ => false,
        }
    }

    /// Handles the result of a probe; `None` for a failed one. Returns the earlier incarnation
    /// when the endpoint restarted.
    pub fn on_probed(&mut self, now: Instant, probe: Option<EndpointProbe>) -> Option<InstanceId> {
        let Some(probe) = probe else {
            self.record_failed_probe();
            return None;
        };
        self.failed_probes = 0;
        let previous = self.instance.replace(probe.instance);
        let restarted = previous.filter(|instance| *instance != probe.instance);
        if restarted.is_some() {
            self.capacity.reset();
        }
        self.capacity.record_alive(now);
        self.power
            .record_report(probe.power, probe.running, self.active_count());
        self.update_phase(probe.version, restarted.is_some());
        restarted
    }

    /// Sets the power granted from the site's budget; `None` for no limit.
    pub fn set_grant(&mut self, grant: Option<Milliwatts>) {
        self.grant = grant;
    }

    /// Sets the verified share of the chunks of the version being fetched, in thousandths.
    pub fn set_progress(&mut self, permille: u32) {
        self.progress_permille = permille;
    }

    /// Accepts no more attempts and refuses the queued ones.
    pub fn start_leaving(&mut self) -> Vec<GateAction> {
        let version = self.phase.version().cloned();
        self.phase = Phase::Leaving(phase::Leaving { version });
        self.refuse_queue(Code::EndpointLeaving)
    }

    /// Refuses every queued attempt.
    pub fn refuse_queue(&mut self, code: Code) -> Vec<GateAction> {
        self.queue
            .drain(..)
            .map(|spec| GateAction::Refuse(Box::new(spec), code))
            .collect()
    }

    /// Starts the switch to a version and refuses the queued attempts. The load order is sent once
    /// the running attempts have ended.
    pub fn start_load(&mut self, version: Digest, fence: Generation) -> Vec<GateAction> {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Down(Down::unknown())) {
            Phase::Leaving(state) => Phase::Leaving(state),
            Phase::Down(state) => Phase::Loading(state.start_load(version, fence)),
            Phase::Loading(_) | Phase::Cold(_) | Phase::Ready(_) => {
                Phase::Loading(Down::unknown().start_load(version, fence))
            }
        };
        self.refuse_queue(Code::WrongVersion)
    }

    /// Returns the load order to send now, once: when the endpoint has drained and the order was
    /// not sent yet.
    pub fn take_due_load_order(&mut self, now: Instant) -> Option<(Digest, Generation)> {
        match &mut self.phase {
            Phase::Loading(state) if !state.order_sent && self.running.is_empty() => {
                state.order_sent = true;
                self.load_order_guard.record_sent(now);
                Some((state.version.clone(), state.fence))
            }
            _ => None,
        }
    }

    /// Returns true when a switch may start at `now`. It is checked again at every event, at the
    /// latest at the next probe, so the wait for earlier load orders needs no wake-up.
    pub fn can_load(&self, now: Instant) -> bool {
        let may_start = match &self.phase {
            Phase::Down(state) => state.reachable && state.retry_at.is_none_or(|at| at <= now),
            Phase::Cold(_) | Phase::Ready(_) => true,
            Phase::Loading(_) | Phase::Leaving(_) => false,
        };
        may_start && self.load_order_guard.may_send(now)
    }

    /// Handles the result of a load order; `version` is `None` when it failed.
    pub fn on_loaded(&mut self, now: Instant, version: Option<Digest>, fence: Generation) {
        let Phase::Loading(state) = &self.phase else {
            return;
        };
        if state.fence != fence || !state.order_sent {
            return;
        }
        let state = state.clone();
        self.capacity.reset();
        self.phase = match version {
            Some(version) if version == state.version => {
                self.load_order_guard.record_confirmed();
                Phase::Cold(state.loaded())
            }
            _ => Phase::Down(state.failed(now + LOAD_RETRY_DELAY)),
        };
    }

    /// Number of attempts that occupy a slot of the endpoint.
    fn active_count(&self) -> u32 {
        let count = self.running.values().filter(|run| run.is_active()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Concurrency limit from capacity and power, whatever the state.
    fn concurrency_limit(&self, now: Instant) -> u32 {
        self.capacity.limit(now).min(self.power_limit())
    }

    /// Removes a retry time that has passed, so that it causes no more wake-ups.
    fn clear_elapsed_retry(&mut self, now: Instant) {
        if let Phase::Down(state) = &mut self.phase {
            state.retry_at = state.retry_at.filter(|at| *at > now);
        }
    }

    /// Number of attempts that the power grant allows.
    fn power_limit(&self) -> u32 {
        let Some(grant) = self.grant else {
            return u32::MAX;
        };
        let single = u32::from(self.power.fits_one_stream(grant));
        self.power.streams_within(grant).max(single)
    }

    fn record_failed_probe(&mut self) {
        self.failed_probes += 1;
        self.capacity.reset();
        self.mark_cold();
        let is_down = self.failed_probes >= MAX_FAILED_PROBES;
        if is_down && !matches!(self.phase, Phase::Leaving(_)) {
            self.phase = Phase::Down(Down::unknown());
        }
    }

    /// Updates the state to the version that a probe reported.
    fn update_phase(&mut self, version: Option<Digest>, restarted: bool) {
        let is_model = self.cfg.kind == EndpointKind::Model;
        let has_no_version = is_model && version.is_none();
        let phase = std::mem::replace(&mut self.phase, Phase::Down(Down::unknown()));
        self.phase = match phase {
            Phase::Leaving(state) => Phase::Leaving(state),
            Phase::Loading(state) if state.order_sent && !restarted => Phase::Loading(state),
            Phase::Loading(state) if !state.order_sent && !has_no_version => Phase::Loading(state),
            Phase::Down(state) if has_no_version => Phase::Down(Down {
                reachable: true,
                ..state
            }),
            _ if has_no_version => Phase::Down(Down {
                reachable: true,
                retry_at: None,
            }),
            Phase::Down(state) => Phase::Cold(state.serving(version)),
            Phase::Loading(_) => Phase::Cold(Down::unknown().serving(version)),
            Phase::Cold(state) if state.version == version => Phase::Cold(state),
            Phase::Ready(state) if state.version == version && !restarted => Phase::Ready(state),
            Phase::Cold(_) | Phase::Ready(_) => {
                self.capacity.reset();
                Phase::Cold(Down::unknown().serving(version))
            }
        };
    }

    fn mark_cold(&mut self) {
        if let Phase::Ready(state) = &self.phase {
            self.phase = Phase::Cold(state.clone().cooled());
        }
    }

    fn mark_ready_if_warm(&mut self) {
        if let Phase::Cold(state) = &self.phase
            && self.capacity.is_warm()
        {
            self.phase = Phase::Ready(state.clone().warmed());
        }
    }
}
