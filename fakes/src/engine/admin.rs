//! Control calls of the engine.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use crate::reply::{Body, Reply, answer, read};

use super::batch::{fill, load as current_load};
use super::job::Token;
use super::state::{Active, Ended, Shared, State};

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

/// Reports instance and version as they are and the load as it was.
pub(super) fn status(shared: &Shared) -> Response<Body> {
    let state = shared.lock();
    let load = if shared.cfg.report_lag.is_zero() {
        current_load(shared, &state)
    } else {
        state.report
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

/// Cancels a request that has not ended.
pub(super) async fn cancel(shared: &Shared, req: Request<Incoming>) -> Reply {
    on_job(shared, req, |state, id| {
        if let Some(job) = state.job(id) {
            // A caller that is gone needs no end.
            let _ = job.events.send(Token::Cancelled);
            state.running.retain(|job| job.id != id);
            state.waiting.retain(|job| job.id != id);
            state.end(id.to_owned(), Ended::Cancelled);
        }
    })
    .await
}

/// Pauses a request.
pub(super) async fn pause(shared: &Shared, req: Request<Incoming>) -> Reply {
    set_paused(shared, req, true).await
}

/// Resumes a request.
pub(super) async fn resume(shared: &Shared, req: Request<Incoming>) -> Reply {
    set_paused(shared, req, false).await
}

async fn set_paused(shared: &Shared, req: Request<Incoming>, is_paused: bool) -> Reply {
    on_job(shared, req, |state, id| {
        if let Some(job) = state.job(id) {
            job.is_paused = is_paused;
        }
    })
    .await
}

async fn on_job(
    shared: &Shared,
    req: Request<Incoming>,
    act: impl FnOnce(&mut State, &str),
) -> Reply {
    let body = read(req).await?;
    let Ok(JobRequest { id }) = serde_json::from_slice(&body) else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    let mut state = shared.lock();
    act(&mut state, &id);
    fill(shared, &mut state);
    shared.work.notify_one();
    Some(crate::reply::json(
        &json!({"state": job_state(&mut state, &id)}),
    ))
}

fn job_state(state: &mut State, id: &str) -> &'static str {
    let ended = state.ended.get(id).copied();
    match (state.job(id), ended) {
        (Some(job), _) if job.is_paused => "paused",
        (Some(_), _) => "running",
        (None, Some(Ended::Done)) => "done",
        (None, Some(Ended::Cancelled)) => "cancelled",
        (None, None) => "unknown",
    }
}

/// Takes a manifest or a chunk into the staging area.
pub(super) async fn stage(shared: &Shared, path: &str, req: Request<Incoming>) -> Reply {
    let Some((digest, part)) = path
        .strip_prefix("/admin/staging/")
        .and_then(|rest| rest.split_once('/'))
    else {
        return Some(answer(StatusCode::NOT_FOUND, ""));
    };
    let body = read(req).await?;
    let mut state = shared.lock();
    let staged = state.staging.entry(digest.to_owned()).or_default();
    let is_taken = match part.parse() {
        Ok(index) => {
            staged.put_chunk(index, &body);
            true
        }
        Err(_) => part == "manifest" && staged.put_manifest(digest, &body),
    };
    let status = if is_taken {
        StatusCode::OK
    } else {
        StatusCode::BAD_REQUEST
    };
    Some(answer(status, ""))
}

/// Carries out a load order.
pub(super) async fn load(shared: &Arc<Shared>, req: Request<Incoming>) -> Reply {
    let body = read(req).await?;
    let Ok(order) = serde_json::from_slice::<LoadOrder>(&body) else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    // The switch goes on when the connection of the one who ordered it breaks.
    let shared = Arc::clone(shared);
    tokio::spawn(async move { carry_out(&shared, &order).await })
        .await
        .ok()?
}

async fn carry_out(shared: &Shared, order: &LoadOrder) -> Reply {
    let instance = match accept(shared, order) {
        Ok(instance) => instance,
        Err(status) => return Some(answer(status, "")),
    };
    tokio::time::sleep(shared.cfg.load_time).await;
    let mut state = shared.lock();
    if state.instance != instance {
        return None;
    }
    state.is_loading = false;
    switch(&mut state, &order.version);
    Some(loaded(&state))
}

/// Checks an order and begins to carry it out.
fn accept(shared: &Shared, order: &LoadOrder) -> Result<u64, StatusCode> {
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

/// Makes a staged version the active one; the engine is cold afterwards.
fn switch(state: &mut State, version: &str) {
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
    state.active = Some(Active {
        digest: version.into(),
        is_intact: staged.is_intact(),
    });
}

fn loaded(state: &State) -> Response<Body> {
    crate::reply::json(&json!({"version": state.version(), "fence": state.fence}))
}
