//! Continuous batching: one task produces the tokens of all running requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::job::Progress;
use super::state::{Ended, Load, Shared, State};

/// Time over which the token rate is measured.
const RATE_WINDOW: Duration = Duration::from_millis(100);
/// Weight of the newest measurement in the token rate.
const RATE_WEIGHT: f64 = 0.5;
/// Pause between looks at a stalled engine.
const STALL_PAUSE: Duration = Duration::from_millis(10);

/// Steps made up for at once, for intervals below the resolution of the timer.
const CATCH_UP_STEPS: u32 = 16;

/// Runs the batch until the engine is dropped.
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

/// Produces what is due and returns the time of the next step.
fn catch_up(shared: &Shared, mut next_step: Instant) -> Instant {
    let now = Instant::now();
    if now < next_step {
        produce(shared, false);
        return next_step;
    }
    for _ in 0..CATCH_UP_STEPS {
        if now < next_step {
            return next_step;
        }
        next_step += produce(shared, true);
    }
    next_step.max(now)
}

/// Time of the next step or first token; `None` when nothing runs.
fn next_wake(shared: &Shared, next_step: Instant) -> Option<Instant> {
    let state = shared.lock();
    if state.faults.stalled && !state.running.is_empty() {
        return Some(Instant::now() + STALL_PAUSE);
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

/// Produces first tokens that are due and, in a step, one token of each started request.
fn produce(shared: &Shared, is_step: bool) -> Duration {
    let mut state = shared.lock();
    let now = Instant::now();
    if !state.faults.stalled {
        step_jobs(shared, &mut state, now, is_step);
        fill(shared, &mut state);
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
        state.counters.tokens += u64::from(job.next < job.total);
        match job.step(&active.digest) {
            Progress::Running => index += 1,
            Progress::Done => state.end(jobs.remove(index).id, Ended::Done),
            Progress::Gone => state.end(jobs.remove(index).id, Ended::Cancelled),
        }
    }
    state.running = jobs;
}

/// Moves waiting requests into the batch while it has room.
pub(super) fn fill(shared: &Shared, state: &mut State) {
    let room = (shared.cfg.warm_limit as usize).saturating_sub(state.running.len());
    let moved = room.min(state.waiting.len());
    state.running.extend(state.waiting.drain(..moved));
}

/// Measures the token rate and takes the load report, until the engine is dropped.
pub(super) async fn report(shared: Arc<Shared>) {
    let mut tokens = 0;
    let mut pending = (Instant::now(), Load::default());
    loop {
        tokio::time::sleep(RATE_WINDOW).await;
        let mut state = shared.lock();
        let produced = state.counters.tokens - tokens;
        tokens = state.counters.tokens;
        let rate = produced as f64 / RATE_WINDOW.as_secs_f64();
        state.tokens_per_s += (rate - state.tokens_per_s) * RATE_WEIGHT;
        if pending.0.elapsed() >= shared.cfg.report_lag {
            state.report = pending.1;
            pending = (Instant::now(), load(&shared, &state));
        }
    }
}

/// Load as it is now.
pub(super) fn load(shared: &Shared, state: &State) -> Load {
    Load {
        running: state.running.len(),
        waiting: state.waiting.len(),
        power_mw: shared.power_mw(state),
    }
}
