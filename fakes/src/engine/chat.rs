//! Chat completion requests: admission to the batch, and plain or streamed answers.

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

use crate::reply::{Body, Reply, answer, header, read_body};

use super::batch::fill_batch;
use super::job::{AnswerEvent, Job, Progress};
use super::state::{JobOutcome, Shared, State};

/// Tokens of an answer when the request has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// Priority of a request without a valid `x-priority` header.
const DEFAULT_PRIORITY: u8 = 100;
/// Length of an answer tag, in hexadecimal digits.
const TAG_DIGITS: usize = 12;

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

/// Text that each token of the answer to a prompt begins with: part of the prompt's hash, so that a
/// client can tell whether the answer is that to its own prompt.
pub fn answer_tag(prompt: &str) -> String {
    blake3::hash(prompt.as_bytes()).to_hex()[..TAG_DIGITS].to_owned()
}

/// Handles a chat completion request; `None` closes the connection without an answer.
pub(super) async fn complete(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let id = header(&req, "x-request-id").to_owned();
    let priority = header(&req, "x-priority")
        .parse()
        .unwrap_or(DEFAULT_PRIORITY);
    let body = read_body(req).await?;
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return Some(answer(StatusCode::BAD_REQUEST, ""));
    };
    let is_poisoned = shared
        .cfg
        .poison
        .as_ref()
        .is_some_and(|text| body.windows(text.len()).any(|part| part == text.as_bytes()));
    let is_stream = chat.stream;
    let (events, job) = new_job(id, priority, &chat, is_poisoned);
    let accepted = admit(&shared, &chat, job)?;
    let Some(accepted) = accepted else {
        return Some(answer(StatusCode::SERVICE_UNAVAILABLE, ""));
    };
    let mut res = if is_stream {
        let mut res = Response::new(stream_body(events));
        res.headers_mut()
            .insert("content-type", "text/event-stream".parse().ok()?);
        res
    } else {
        plain_answer(&accepted, events).await?
    };
    let headers = res.headers_mut();
    headers.insert("x-request-id", accepted.id.parse().ok()?);
    headers.insert("x-engine-version", accepted.version.parse().ok()?);
    headers.insert("x-engine-instance", accepted.instance.into());
    Some(res)
}

/// Values that the answer carries in its headers and body, fixed when the request is admitted.
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
) -> (UnboundedReceiver<AnswerEvent>, Job) {
    let (events, rx) = mpsc::unbounded_channel();
    let job = Job {
        answer_id: id.clone(),
        id,
        priority,
        tag: answer_tag(&chat.prompt()),
        next_index: chat.resume_from,
        total_tokens: chat.max_tokens.unwrap_or(DEFAULT_TOKENS),
        ready_at: Instant::now(),
        has_started: false,
        is_paused: false,
        is_poisoned,
        is_cut: false,
        switches_version: false,
        events,
    };
    (rx, job)
}

/// Puts a request into the batch or the queue. `None` when the engine is down or crashes,
/// `Some(None)` when it is loading or has no version.
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
    let in_flight = state.in_flight() as u64 + 1;
    state.counters.peak_in_flight = state.counters.peak_in_flight.max(in_flight);
    if shared.is_cold(&state) && in_flight > u64::from(shared.limit(&state)) {
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
        is_truncated: take_fault(&mut state.faults.truncate_next),
    };
    enqueue(shared, &mut state, job);
    Some(Some(accepted))
}

fn apply_faults(state: &mut State, job: &mut Job) {
    job.is_cut = take_fault(&mut state.faults.cut_next);
    job.switches_version = take_fault(&mut state.faults.switch_version_next);
    if take_fault(&mut state.faults.wrong_id_next) {
        job.answer_id = "another-request".to_owned();
    }
}

/// Decrements the number of upcoming faults; true when this request gets the fault.
fn take_fault(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}

/// Time at which the prompt will have been prefilled; the engine prefills one prompt at a time.
fn prefill_end(shared: &Shared, state: &mut State, chat: &ChatRequest) -> Instant {
    let lookup = state.prefix.look_up(&chat.prompt());
    state.counters.blocks += lookup.blocks;
    state.counters.blocks_hit += lookup.hits;
    let missed = (lookup.blocks - lookup.hits) as u32;
    let cost = shared.cfg.prefill + shared.cfg.prefill_per_block * missed;
    let cost = cost.mul_f64(shared.slowdown(state));
    let end = state.prefill_free_at.max(Instant::now()) + cost;
    state.prefill_free_at = end;
    end
}

/// Starts a request at once when a slot is free and its first token is due, or queues it by its
/// priority. A poisoned request, or any request of a stalled engine, is always queued.
fn enqueue(shared: &Shared, state: &mut State, mut job: Job) {
    let has_free_slot = state.running.len() < shared.cfg.warm_limit as usize;
    let is_ready = job.ready_at <= Instant::now() && !job.is_poisoned && !state.faults.stalled;
    if has_free_slot && is_ready {
        let Some(active) = state.active.clone() else {
            return;
        };
        state.counters.tokens += u64::from(job.next_index < job.total_tokens);
        match job.step(&active.digest) {
            Progress::Running => state.running.push(job),
            Progress::Done => state.finish_job(job.id, JobOutcome::Done),
            Progress::Aborted => state.finish_job(job.id, JobOutcome::Cancelled),
        }
    } else {
        let position = state
            .waiting
            .partition_point(|other| other.priority <= job.priority);
        state.waiting.insert(position, job);
        fill_batch(shared, state);
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

/// Body of a streamed answer. Its connection is cut when the channel closes without an end event.
fn stream_body(events: UnboundedReceiver<AnswerEvent>) -> Body {
    let frames = stream::unfold(Some(events), |events| async move {
        let mut events = events?;
        match events.recv().await {
            Some(AnswerEvent::Token { event, .. }) => Some((Ok(Frame::data(event)), Some(events))),
            Some(AnswerEvent::Done) => Some((Ok(Frame::data("data: [DONE]\n\n".into())), None)),
            Some(AnswerEvent::Cancelled) => None,
            None => Some((
                Err(io::Error::other("the answer ended before its last token")),
                None,
            )),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Complete answer to a request that is not streamed; `None` when it was cancelled or ended early.
async fn plain_answer(
    accepted: &Accepted,
    mut events: UnboundedReceiver<AnswerEvent>,
) -> Option<Response<Body>> {
    let mut content = String::new();
    let mut count = 0;
    let mut version = Arc::clone(&accepted.version);
    loop {
        match events.recv().await? {
            AnswerEvent::Done => break,
            AnswerEvent::Cancelled => return None,
            AnswerEvent::Token {
                text,
                version: token_version,
                ..
            } => {
                content.push_str(&text);
                count += 1;
                version = token_version;
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
