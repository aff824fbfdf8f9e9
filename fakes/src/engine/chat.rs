//! Requests to the engine.

use std::io;
use std::sync::Arc;

use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::Instant;

use crate::reply::{Body, Reply, answer, header, read};

use super::batch::fill;
use super::job::{Job, Progress, Token};
use super::state::{Ended, Shared, State};

/// Tokens in an answer when the request does not say.
const DEFAULT_TOKENS: u64 = 16;
/// Priority when the request does not say.
const DEFAULT_PRIORITY: u8 = 100;
/// Length of the text that marks an answer as that of its prompt.
const TAG_CHARS: usize = 12;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from: u64,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// Text that each token of the answer to a prompt begins with.
pub fn answer_tag(prompt: &str) -> String {
    blake3::hash(prompt.as_bytes()).to_hex()[..TAG_CHARS].to_owned()
}

/// Answers a request.
pub(super) async fn complete(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let id = header(&req, "x-request-id").to_owned();
    let priority = header(&req, "x-priority")
        .parse()
        .unwrap_or(DEFAULT_PRIORITY);
    let body = read(req).await?;
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    let is_poisoned = shared
        .cfg
        .poison
        .as_ref()
        .is_some_and(|mark| body.windows(mark.len()).any(|text| text == mark.as_bytes()));
    let is_stream = chat.stream;
    let (tokens, job) = new_job(id, priority, &chat, is_poisoned);
    let accepted = admit(&shared, &chat, job)?;
    let Some(accepted) = accepted else {
        return Some(answer(StatusCode::SERVICE_UNAVAILABLE, ""));
    };
    let mut res = if is_stream {
        let mut res = Response::new(events(tokens));
        res.headers_mut()
            .insert("content-type", "text/event-stream".parse().ok()?);
        res
    } else {
        whole(&accepted, tokens).await?
    };
    let headers = res.headers_mut();
    headers.insert("x-request-id", accepted.id.parse().ok()?);
    headers.insert("x-engine-version", accepted.version.parse().ok()?);
    headers.insert("x-engine-instance", accepted.instance.into());
    Some(res)
}

/// What the head of the answer says.
#[derive(Debug)]
struct Accepted {
    id: String,
    version: Arc<str>,
    instance: u64,
    is_truncated: bool,
}

fn new_job(
    id: String,
    priority: u8,
    chat: &ChatRequest,
    is_poisoned: bool,
) -> (UnboundedReceiver<Token>, Job) {
    let (events, rx) = mpsc::unbounded_channel();
    let job = Job {
        answer_id: id.clone(),
        id,
        priority,
        tag: answer_tag(&chat.prompt()),
        next: chat.resume_from,
        total: chat.max_tokens.unwrap_or(DEFAULT_TOKENS),
        ready_at: Instant::now(),
        has_started: false,
        is_paused: false,
        is_poisoned,
        is_cut: false,
        is_swapped: false,
        events,
    };
    (rx, job)
}

/// Takes a request in. `None` when the engine crashes, `Some(None)` when it has no version.
fn admit(shared: &Shared, chat: &ChatRequest, mut job: Job) -> Option<Option<Accepted>> {
    let mut state = shared.lock();
    if state.is_down {
        return None;
    }
    let Some(active) = state.active.clone().filter(|_| !state.is_loading) else {
        return Some(None);
    };
    state.counters.requests += 1;
    state.counters.corrupt_weight_requests += u64::from(!active.is_intact);
    let held = state.in_flight() as u64 + 1;
    state.counters.peak_in_flight = state.counters.peak_in_flight.max(held);
    if shared.is_cold(&state) && held > u64::from(shared.limit(&state)) {
        state.counters.overloads += 1;
        if shared.cfg.crash_on_overload {
            shared.crash(&mut state);
            return None;
        }
    }
    apply_faults(&mut state, &mut job);
    job.ready_at = prefill_end(shared, &mut state, chat);
    let accepted = Accepted {
        id: job.answer_id.clone(),
        version: active.digest,
        instance: state.instance,
        is_truncated: take(&mut state.faults.truncate_next),
    };
    enqueue(shared, &mut state, job);
    Some(Some(accepted))
}

fn apply_faults(state: &mut State, job: &mut Job) {
    job.is_cut = take(&mut state.faults.cut_next);
    job.is_swapped = take(&mut state.faults.switch_version_next);
    if take(&mut state.faults.wrong_id_next) {
        job.answer_id = "another-request".to_owned();
    }
}

/// Takes one from a count of faults to come.
fn take(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}

/// Time at which the prompt has been read; prompts take turns.
fn prefill_end(shared: &Shared, state: &mut State, chat: &ChatRequest) -> Instant {
    let lookup = state.prefix.look_up(&chat.prompt());
    state.counters.blocks += lookup.blocks;
    state.counters.blocks_hit += lookup.hits;
    let missed = (lookup.blocks - lookup.hits) as u32;
    let cost = shared.cfg.prefill + shared.cfg.prefill_per_block * missed;
    let cost = cost.mul_f64(shared.slowness(state));
    let end = state.prefill_free.max(Instant::now()) + cost;
    state.prefill_free = end;
    end
}

/// Puts a request into the batch, or in line by its priority.
fn enqueue(shared: &Shared, state: &mut State, mut job: Job) {
    let has_room = state.running.len() < shared.cfg.warm_limit as usize;
    let is_ready = job.ready_at <= Instant::now() && !job.is_poisoned && !state.faults.stalled;
    if has_room && is_ready {
        let Some(active) = state.active.clone() else {
            return;
        };
        state.counters.tokens += u64::from(job.next < job.total);
        match job.step(&active.digest) {
            Progress::Running => state.running.push(job),
            Progress::Done => state.end(job.id, Ended::Done),
            Progress::Gone => state.end(job.id, Ended::Cancelled),
        }
    } else {
        let place = state
            .waiting
            .partition_point(|other| other.priority <= job.priority);
        state.waiting.insert(place, job);
        fill(shared, state);
    }
    shared.work.notify_one();
}

impl ChatRequest {
    fn prompt(&self) -> String {
        self.messages
            .iter()
            .map(|message| message.content.as_str())
            .collect::<Vec<_>>()
            .join("\n")
    }
}

/// Body of a streamed answer; the connection breaks when the tokens end without an end mark.
fn events(tokens: UnboundedReceiver<Token>) -> Body {
    let events = stream::unfold(Some(tokens), |tokens| async move {
        let mut tokens = tokens?;
        match tokens.recv().await {
            Some(Token::Text { event, .. }) => Some((Ok(Frame::data(event)), Some(tokens))),
            Some(Token::Done) => Some((Ok(Frame::data("data: [DONE]\n\n".into())), None)),
            Some(Token::Cancelled) => None,
            None => Some((Err(io::Error::other("the answer broke off")), None)),
        }
    });
    StreamBody::new(events).boxed_unsync()
}

/// Whole answer of a request that is not streamed; `None` when it broke off.
async fn whole(
    accepted: &Accepted,
    mut tokens: UnboundedReceiver<Token>,
) -> Option<Response<Body>> {
    let mut content = String::new();
    let mut count = 0;
    let mut version = Arc::clone(&accepted.version);
    loop {
        match tokens.recv().await? {
            Token::Done => break,
            Token::Cancelled => return None,
            Token::Text {
                text, version: by, ..
            } => {
                content.push_str(&text);
                count += 1;
                version = by;
            }
        }
    }
    let body = json!({
        "id": accepted.id,
        "version": &*version,
        "choices": [{"message": {"role": "assistant", "content": content}}],
        "usage": {"completion_tokens": count},
    })
    .to_string();
    let sent = if accepted.is_truncated {
        json!({"id": accepted.id, "choices": []}).to_string()
    } else {
        body
    };
    Some(answer(StatusCode::OK, sent))
}
