//! Handlers of the engine's control calls, all under `/admin/`.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use crate::reply::{Body, Reply, answer, read_body};

use super::batch::{current_load, fill_batch};
use super::job::AnswerEvent;
use super::state::{ActiveVersion, JobOutcome, Shared, State};

#[derive(Debug, Deserialize)]
struct JobRequest {
    id: String,
}

#[derive(Debug, Deserialize)]
struct LoadOrder {
    version: String,
    #[serde(default)]
    fence: u64,
}

/// Reports the current instance and version, and the load delayed by the configured report lag.
pub(super) fn status(shared: &Shared) -> Response<Body> {
    let state = shared.lock();
    let load = if shared.cfg.report_lag.is_zero() {
        current_load(shared, &state)
    } else {
        state.reported_load
    };
    crate::reply::json(&json!({
        "instance": state.instance,
        "version": state.version(),
        "fence": state.fence,
        "running": load.running,
        "waiting": load.waiting,
        "power_mw": load.power_mw,
    }))
}

/// Cancels a running or waiting request; one that has ended keeps its outcome.
pub(super) async fn cancel(shared: &Shared, req: Request<Incoming>) -> Reply {
    update_job(shared, req, |state, id| {
        if let Some(job) = state.job(id) {
            // Sending fails when the caller has disconnected, who then needs no notice.
            let _ = job.events.send(AnswerEvent::Cancelled);
            state.running.retain(|job| job.id != id);
            state.waiting.retain(|job| job.id != id);
            state.finish_job(id.to_owned(), JobOutcome::Cancelled);
        }
    })
    .await
}

/// Pauses a request, which gets no tokens but keeps its slot.
pub(super) async fn pause(shared: &Shared, req: Request<Incoming>) -> Reply {
    set_paused(shared, req, true).await
}

/// Resumes a paused request.
pub(super) async fn resume(shared: &Shared, req: Request<Incoming>) -> Reply {
    set_paused(shared, req, false).await
}

async fn set_paused(shared: &Shared, req: Request<Incoming>, is_paused: bool) -> Reply {
    update_job(shared, req, |state, id| {
        if let Some(job) = state.job(id) {
            job.is_paused = is_paused;
        }
    })
    .await
}

/// Applies a change to the state and answers with the state of the request named in the body.
async fn update_job(
    shared: &Shared,
    req: Request<Incoming>,
    update: impl FnOnce(&mut State, &str),
) -> Reply {
    let body = read_body(req).await?;
    let Ok(JobRequest { id }) = serde_json::from_slice(&body) else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    let mut state = shared.lock();
    update(&mut state, &id);
    fill_batch(shared, &mut state);
    shared.work.notify_one();
    Some(crate::reply::json(
        &json!({"state": job_state(&mut state, &id)}),
    ))
}

fn job_state(state: &mut State, id: &str) -> &'static str {
    let outcome = state.outcomes.get(id).copied();
    match (state.job(id), outcome) {
        (Some(job), _) if job.is_paused => "paused",
        (Some(_), _) => "running",
        (None, Some(JobOutcome::Done)) => "done",
        (None, Some(JobOutcome::Cancelled)) => "cancelled",
        (None, None) => "unknown",
    }
}

/// Stores a manifest or a chunk in the staging area; the path names the version's digest and
/// `manifest` or the chunk's index.
pub(super) async fn stage(shared: &Shared, path: &str, req: Request<Incoming>) -> Reply {
    let Some((digest, part)) = path
        .strip_prefix("/admin/staging/")
        .and_then(|rest| rest.split_once('/'))
    else {
        return Some(answer(StatusCode::NOT_FOUND, ""));
    };
    let body = read_body(req).await?;
    let mut state = shared.lock();
    let staged = state.staging.entry(digest.to_owned()).or_default();
    let is_accepted = match part.parse() {
        Ok(index) => {
            staged.put_chunk(index, &body);
            true
        }
        Err(_) => part == "manifest" && staged.put_manifest(digest, &body),
    };
    let status = if is_accepted {
        StatusCode::OK
    } else {
        StatusCode::BAD_REQUEST
    };
    Some(answer(status, ""))
}

/// Handles a load order and answers once the version has been switched.
pub(super) async fn load(shared: &Arc<Shared>, req: Request<Incoming>) -> Reply {
    let body = read_body(req).await?;
    let Ok(order) = serde_json::from_slice::<LoadOrder>(&body) else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    // In a task of its own, so that a broken connection does not cancel the switch.
    let shared = Arc::clone(shared);
    tokio::spawn(async move { execute_load(&shared, &order).await })
        .await
        .ok()?
}

async fn execute_load(shared: &Shared, order: &LoadOrder) -> Reply {
    let instance = match begin_load(shared, order) {
        Ok(instance) => instance,
        Err(status) => return Some(answer(status, "")),
    };
    tokio::time::sleep(shared.cfg.load_time).await;
    let mut state = shared.lock();
    if state.instance != instance {
        return None;
    }
    state.is_loading = false;
    activate_staged(&mut state, &order.version);
    Some(load_response(&state))
}

/// Checks a load order and marks the engine as loading. Returns the instance that accepted it.
fn begin_load(shared: &Shared, order: &LoadOrder) -> Result<u64, StatusCode> {
    let mut state = shared.lock();
    if shared.cfg.checks_fencing && order.fence < state.fence {
        state.counters.fenced += 1;
        return Err(StatusCode::CONFLICT);
    }
    if shared.cfg.checks_fencing {
        state.fence = order.fence;
    }
    let is_active = state.version().as_deref() == Some(&order.version);
    let is_staged = state
        .staging
        .get(&order.version)
        .is_some_and(|staged| staged.is_complete());
    if !is_active && !is_staged {
        return Err(StatusCode::UNPROCESSABLE_ENTITY);
    }
    state.is_loading = !is_active;
    Ok(state.instance)
}

/// Makes a staged version the active one and the engine cold; does nothing when the version is
/// active already.
fn activate_staged(state: &mut State, version: &str) {
    if state.version().as_deref() == Some(version) {
        return;
    }
    let Some(staged) = state.staging.remove(version) else {
        return;
    };
    state.counters.mixed_version_requests +=
        state.running.iter().filter(|job| job.has_started).count() as u64;
    state.counters.loads += 1;
    state.completed_since_cold = 0;
    state.prefix.clear();
    state.active = Some(ActiveVersion {
        digest: version.into(),
        is_intact: staged.is_intact(),
    });
}

fn load_response(state: &State) -> Response<Body> {
    crate::reply::json(&json!({"version": state.version(), "fence": state.fence}))
}
