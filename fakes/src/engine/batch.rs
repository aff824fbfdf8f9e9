//! Continuous batching: one task produces the tokens of all running requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::job::Progress;
use super::state::{JobOutcome, Load, Shared, State};

/// Interval at which the token rate is measured and the load report is renewed.
const RATE_WINDOW: Duration = Duration::from_millis(100);
/// Weight of the newest measurement in the moving average of the token rate.
const RATE_WEIGHT: f64 = 0.5;
/// Interval at which a stalled engine checks whether the stall is over.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Missed steps that are made up for on one wake-up. Several can be due at once when the step time
/// is below the resolution of the timer.
const MAX_CATCH_UP_STEPS: u32 = 16;

/// Produces tokens until the engine is dropped, which aborts this task.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut next_step = Instant::now();
    loop {
        let work = shared.work.notified();
        let Some(wake) = next_wake(&shared, next_step) else {
            work.await;
            next_step = Instant::now() + shared.step_time(&shared.lock());
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(wake) => {}
            () = work => continue,
        }
        next_step = catch_up(&shared, next_step);
    }
}

/// Produces the tokens that are due and returns the time of the next step.
fn catch_up(shared: &Shared, mut next_step: Instant) -> Instant {
    let now = Instant::now();
    if now < next_step {
        produce(shared, false);
        return next_step;
    }
    for _ in 0..MAX_CATCH_UP_STEPS {
        if now < next_step {
            return next_step;
        }
        next_step += produce(shared, true);
    }
    next_step.max(now)
}

/// Time of the next step or first token; `None` when no unpaused request is running.
fn next_wake(shared: &Shared, next_step: Instant) -> Option<Instant> {
    let state = shared.lock();
    if state.faults.stalled && !state.running.is_empty() {
        return Some(Instant::now() + STALL_POLL_INTERVAL);
    }
    state
        .running
        .iter()
        .filter(|job| !job.is_paused)
        .map(|job| {
            if job.has_started {
                next_step
            } else {
                job.ready_at
            }
        })
        .min()
}

/// Produces the first tokens that are due and, when `is_step`, the next token of each request that
/// has started. Returns the time until the next step.
fn produce(shared: &Shared, is_step: bool) -> Duration {
    let mut state = shared.lock();
    let now = Instant::now();
    if !state.faults.stalled {
        step_jobs(shared, &mut state, now, is_step);
        fill_batch(shared, &mut state);
    }
    shared.step_time(&state)
}

fn step_jobs(shared: &Shared, state: &mut State, now: Instant, is_step: bool) {
    let Some(active) = state.active.clone() else {
        return;
    };
    let mut jobs = std::mem::take(&mut state.running);
    let mut index = 0;
    while index < jobs.len() {
        let job = &mut jobs[index];
        let is_due = job.ready_at <= now && (is_step || !job.has_started);
        if job.is_paused || !is_due {
            index += 1;
            continue;
        }
        if job.is_poisoned {
            state.counters.poison_crashes += 1;
            shared.crash(state);
            return;
        }
        state.counters.tokens += u64::from(job.next_index < job.total_tokens);
        match job.step(&active.digest) {
            Progress::Running => index += 1,
            Progress::Done => state.finish_job(jobs.remove(index).id, JobOutcome::Done),
            Progress::Aborted => state.finish_job(jobs.remove(index).id, JobOutcome::Cancelled),
        }
    }
    state.running = jobs;
}

/// Moves waiting requests into the batch until it is full.
pub(super) fn fill_batch(shared: &Shared, state: &mut State) {
    let free_slots = (shared.cfg.warm_limit as usize).saturating_sub(state.running.len());
    let moved = free_slots.min(state.waiting.len());
    state.running.extend(state.waiting.drain(..moved));
}

/// Measures the token rate and renews the delayed load report, until the engine is dropped, which
/// aborts this task.
pub(super) async fn report_load(shared: Arc<Shared>) {
    let mut counted_tokens = 0;
    let mut pending = (Instant::now(), Load::default());
    loop {
        tokio::time::sleep(RATE_WINDOW).await;
        let mut state = shared.lock();
        let produced = state.counters.tokens - counted_tokens;
        counted_tokens = state.counters.tokens;
        let rate = produced as f64 / RATE_WINDOW.as_secs_f64();
        state.tokens_per_s += (rate - state.tokens_per_s) * RATE_WEIGHT;
        if pending.0.elapsed() >= shared.cfg.report_lag {
            state.reported_load = pending.1;
            pending = (Instant::now(), current_load(&shared, &state));
        }
    }
}

/// Load at this moment, without the report lag.
pub(super) fn current_load(shared: &Shared, state: &State) -> Load {
    Load {
        running: state.running.len(),
        waiting: state.waiting.len(),
        power_mw: shared.power_mw(state),
    }
}
