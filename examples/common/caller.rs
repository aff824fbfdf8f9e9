//! Caller that checks that it received the complete answer to its own request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use limpetloom_fakes::engine::answer_tag;
use serde::Deserialize;
use serde_json::json;

use super::outcome::{Answer, Outcome, Refused};

/// Timeout for the whole answer, from sending the request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A chat request.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Declared class of the request, which determines the target that serves it.
    pub class: String,
    /// Customer that sends the request.
    pub customer: String,
    /// Prompt; it determines the answer of a fake engine.
    pub prompt: String,
    /// Number of tokens in the answer.
    pub tokens: u64,
    /// True for a streamed answer.
    pub stream: bool,
    /// Time that the caller is willing to wait for the first token.
    pub start_budget: Option<Duration>,
}

impl Chat {
    /// Creates a streamed request of class `chat` from `customer-1`, answered with 16 tokens.
    pub fn new(prompt: impl Into<String>) -> Self {
        Self {
            class: "chat".to_owned(),
            customer: "customer-1".to_owned(),
            prompt: prompt.into(),
            tokens: 16,
            stream: true,
            start_budget: None,
        }
    }

    fn body(&self) -> String {
        json!({
            "model": super::MODEL,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.tokens,
            "stream": self.stream,
        })
        .to_string()
    }
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Declared class of the request, which determines the target that serves it.
    pub class: String,
    /// Customer that sends the request.
    pub customer: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body of the request.
    pub body: String,
}

impl ServiceCall {
    /// Creates a booking with an idempotency key, from `customer-1`.
    pub fn booking(key: impl Into<String>) -> Self {
        let key = key.into();
        Self {
            class: "booking".to_owned(),
            customer: "customer-1".to_owned(),
            body: format!("{{\"seat\":\"{key}\"}}"),
            key: Some(key),
        }
    }
}

/// Client that pools connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a caller with its own connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    /// Sends a chat request to an entry, or directly to an engine.
    pub async fn chat(&self, addr: SocketAddr, chat: &Chat) -> Outcome {
        let mut req = post_request(addr, "/v1/chat/completions", &chat.class, &chat.customer);
        if let Some(start_budget) = chat.start_budget {
            let start_budget = start_budget.as_millis().to_string();
            req = req.header("x-limpetloom-patience-ms", start_budget);
        }
        let sent = Instant::now();
        let req = req
            .header("content-type", "application/json")
            .header("x-request-id", answer_tag(&chat.prompt))
            .body(Full::new(chat.body().into()))
            .expect("a valid request");
        match self.send(req, sent).await {
            Err(outcome) => outcome,
            Ok(res) if chat.stream => {
                read_with_timeout(sent, read_stream(res.into_body(), chat, sent)).await
            }
            Ok(res) => read_with_timeout(sent, read_plain(res.into_body(), chat, sent)).await,
        }
    }

    /// Calls a plain service through an entry.
    pub async fn call(&self, addr: SocketAddr, call: &ServiceCall) -> Outcome {
        let path = format!("/services/{}/hold", super::SERVICE);
        let mut req = post_request(addr, &path, &call.class, &call.customer);
        if let Some(key) = &call.key {
            req = req.header("idempotency-key", key);
        }
        let sent = Instant::now();
        let req = req
            .body(Full::new(Bytes::from(call.body.clone())))
            .expect("a valid request");
        match self.send(req, sent).await {
            Err(outcome) => outcome,
            Ok(res) => read_with_timeout(sent, read_service(res.into_body(), call, sent)).await,
        }
    }

    /// Sends a GET request and returns status and body; `None` if there is no complete answer.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Option<(u16, String)> {
        let req = Request::get(format!("http://{addr}{path}"))
            .body(Full::default())
            .ok()?;
        let res = self.client.request(req).await.ok()?;
        let status = res.status().as_u16();
        let body = res.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Sends a request and returns the response if its status is 200, or else the outcome.
    async fn send(
        &self,
        req: Request<Full<Bytes>>,
        sent: Instant,
    ) -> Result<Response<Incoming>, Outcome> {
        let res = tokio::time::timeout(ANSWER_TIMEOUT, self.client.request(req))
            .await
            .map_err(|_| Outcome::Lost("no response before the timeout".to_owned()))?
            .map_err(|e| Outcome::Lost(describe_error(&e)))?;
        if res.status() == 200 {
            return Ok(res);
        }
        let status = res.status().as_u16();
        let head = res.headers().clone();
        let body = res.into_body().collect().await;
        let body = body
            .map_err(|e| Outcome::Lost(describe_error(&e)))?
            .to_bytes();
        Err(parse_refusal(status, &head, &body, sent.elapsed()))
    }
}

/// Formats an error with its causes.
fn describe_error(e: &dyn std::error::Error) -> String {
    match e.source() {
        Some(source) => format!("{e}: {}", describe_error(source)),
        None => e.to_string(),
    }
}

fn post_request(
    addr: SocketAddr,
    path: &str,
    class: &str,
    customer: &str,
) -> hyper::http::request::Builder {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{addr}{path}"))
        .header("x-limpetloom-class", class)
        .header("x-limpetloom-customer", customer)
}

async fn read_with_timeout(sent: Instant, read: impl Future<Output = Outcome>) -> Outcome {
    let left = ANSWER_TIMEOUT.saturating_sub(sent.elapsed());
    tokio::time::timeout(left, read)
        .await
        .unwrap_or_else(|_| Outcome::Lost("answer not complete before the timeout".to_owned()))
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    code: u16,
    /// Value of [`Refused::run_state`].
    run: String,
}

fn parse_refusal(status: u16, head: &HeaderMap, body: &[u8], took: Duration) -> Outcome {
    let Ok(refusal) = serde_json::from_slice::<RefusalBody>(body) else {
        let body = String::from_utf8_lossy(body);
        return Outcome::Wrong(format!(
            "status {status} with a body without a code: {body}"
        ));
    };
    let retry_after = head
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map(Duration::from_secs_f64);
    Outcome::Refused(Refused {
        code: refusal.code,
        run_state: refusal.run,
        status,
        retry_after,
        took,
    })
}

#[derive(Debug, Deserialize)]
struct StreamEvent {
    version: String,
    index: u64,
    choices: Vec<StreamChoice>,
}

#[derive(Debug, Deserialize)]
struct StreamChoice {
    delta: Message,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// Reads a streamed answer and checks each token.
async fn read_stream(mut body: Incoming, chat: &Chat, sent: Instant) -> Outcome {
    let mut state = StreamCheck::new(chat, sent);
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) => {
                return Outcome::Lost(format!(
                    "{} after {} tokens",
                    describe_error(&e),
                    state.next_index
                ));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buf.extend_from_slice(&data);
        if let Err(error) = state.handle_events(&mut buf) {
            return Outcome::Wrong(error);
        }
    }
    state.finish()
}

/// State of the checks on a streamed answer.
struct StreamCheck<'a> {
    chat: &'a Chat,
    tag: String,
    sent: Instant,
    last_token_at: Instant,
    next_index: u64,
    version: String,
    first_token: Option<Duration>,
    longest_gap: Duration,
    has_end_marker: bool,
}

impl<'a> StreamCheck<'a> {
    fn new(chat: &'a Chat, sent: Instant) -> Self {
        Self {
            chat,
            tag: answer_tag(&chat.prompt),
            sent,
            last_token_at: sent,
            next_index: 0,
            version: String::new(),
            first_token: None,
            longest_gap: Duration::ZERO,
            has_end_marker: false,
        }
    }

    /// Removes the complete events from the front of a buffer and checks them.
    fn handle_events(&mut self, buf: &mut Vec<u8>) -> Result<(), String> {
        let mut start = 0;
        while let Some(len) = find_event_end(&buf[start..]) {
            let event = &buf[start..start + len];
            start += len + EVENT_END.len();
            if let Some(data) = event.strip_prefix(b"data: ") {
                self.handle_event(data)?;
            }
        }
        buf.drain(..start);
        Ok(())
    }

    fn handle_event(&mut self, data: &[u8]) -> Result<(), String> {
        if self.has_end_marker {
            return Err("event after the end marker".to_owned());
        }
        if data == b"[DONE]" {
            self.has_end_marker = true;
            return Ok(());
        }
        let event = serde_json::from_slice::<StreamEvent>(data).map_err(|e| e.to_string())?;
        self.check_token(event)?;
        let now = Instant::now();
        match self.first_token {
            None => self.first_token = Some(now - self.sent),
            Some(_) => self.longest_gap = self.longest_gap.max(now - self.last_token_at),
        }
        self.last_token_at = now;
        Ok(())
    }

    fn check_token(&mut self, event: StreamEvent) -> Result<(), String> {
        let expected = format!("{}:{} ", self.tag, self.next_index);
        let content = event
            .choices
            .first()
            .map_or("", |choice| choice.delta.content.as_str());
        if event.index != self.next_index || content != expected {
            return Err(format!("token {content:?} instead of {expected:?}"));
        }
        if self.next_index == 0 {
            self.version = event.version;
        } else if self.version != event.version {
            return Err(format!(
                "version {} instead of {}",
                event.version, self.version
            ));
        }
        self.next_index += 1;
        Ok(())
    }

    fn finish(self) -> Outcome {
        if !self.has_end_marker {
            return Outcome::Lost(format!("no end marker after {} tokens", self.next_index));
        }
        if self.next_index != self.chat.tokens {
            return Outcome::Wrong(format!(
                "received {} of {} tokens",
                self.next_index, self.chat.tokens
            ));
        }
        Outcome::Complete(Answer {
            first_token: self.first_token.unwrap_or_default(),
            longest_gap: self.longest_gap,
            total: self.sent.elapsed(),
            tokens: self.next_index,
            version: self.version,
            run_count: 0,
        })
    }
}

/// Separator after each server-sent event.
const EVENT_END: &[u8] = b"\n\n";

fn find_event_end(buf: &[u8]) -> Option<usize> {
    buf.windows(EVENT_END.len())
        .position(|window| window == EVENT_END)
}

#[derive(Debug, Deserialize)]
struct PlainAnswer {
    version: String,
    choices: Vec<PlainChoice>,
}

#[derive(Debug, Deserialize)]
struct PlainChoice {
    message: Message,
}

async fn read_plain(body: Incoming, chat: &Chat, sent: Instant) -> Outcome {
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return Outcome::Lost(describe_error(&e)),
    };
    let Ok(answer) = serde_json::from_slice::<PlainAnswer>(&body) else {
        return Outcome::Wrong(String::from_utf8_lossy(&body).into_owned());
    };
    let tag = answer_tag(&chat.prompt);
    let expected = (0..chat.tokens)
        .map(|index| format!("{tag}:{index} "))
        .collect::<String>();
    let content = answer
        .choices
        .first()
        .map_or("", |choice| choice.message.content.as_str());
    if content != expected {
        return Outcome::Wrong(format!("unexpected content {content:?}"));
    }
    Outcome::Complete(Answer {
        first_token: sent.elapsed(),
        longest_gap: Duration::ZERO,
        total: sent.elapsed(),
        tokens: chat.tokens,
        version: answer.version,
        run_count: 0,
    })
}

#[derive(Debug, Deserialize)]
struct ServiceAnswer {
    /// Idempotency key of the call; empty if it has none.
    key: String,
    /// How many calls with this key have taken effect, including this one.
    run: u64,
    /// Tag that the service derived from the request body.
    tag: String,
}

async fn read_service(body: Incoming, call: &ServiceCall, sent: Instant) -> Outcome {
    let first_token = sent.elapsed();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return Outcome::Lost(describe_error(&e)),
    };
    let Ok(answer) = serde_json::from_slice::<ServiceAnswer>(&body) else {
        return Outcome::Wrong(String::from_utf8_lossy(&body).into_owned());
    };
    let is_own = answer.tag == answer_tag(&call.body);
    if !is_own || answer.key != call.key.clone().unwrap_or_default() {
        return Outcome::Wrong(format!(
            "answer to another request, with key {:?}",
            answer.key
        ));
    }
    Outcome::Complete(Answer {
        first_token,
        longest_gap: Duration::ZERO,
        total: sent.elapsed(),
        tokens: 0,
        version: String::new(),
        run_count: answer.run,
    })
}
