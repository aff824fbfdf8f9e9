//! Contract of the agent's HTTP interface and of its control connection to entries.

#![allow(clippy::unwrap_used)]

#[path = "../examples/common/mod.rs"]
mod common;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use limpetloom::agent::AgentHandle;
use limpetloom::control::ControlClients;
use limpetloom::settings::Secret;
use limpetloom::wire::{
    AgentControlClient, SettleReply, SettleRequest, SettleState, StoreContact, SyncReply,
    SyncRequest, VersionedDocument,
};
use limpetloom_fakes::raw::{ConnectionEnd, RawAnswer};
use rstest::rstest;

use common::Site;

const READY_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const BOOKING: &str = "{\"seat\":7}";

/// A site whose service agent the tests call directly, in place of the entry.
struct Fixture {
    site: Site,
    clients: ControlClients,
    sync: SyncReply,
}

impl Fixture {
    async fn start() -> Self {
        let site = Site::builder()
            .zones(1)
            .entries(1)
            .models(1)
            .preloaded()
            .start()
            .await
            .unwrap();
        site.wait_ready(READY_TIMEOUT).await.unwrap();
        let clients = ControlClients::new(Secret::new(common::TOKEN), CALL_TIMEOUT);
        let sync = loop {
            let sync = sync(&clients, service_agent(&site), 0).await;
            if sync.generation > 0 {
                break sync;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        Self {
            site,
            clients,
            sync,
        }
    }

    fn agent(&self) -> &AgentHandle {
        service_agent(&self.site)
    }

    /// Offers the agent a valid booking, with the given headers replaced or, if empty, left out.
    async fn offer(&self, attempt: &str, changes: &[(&str, &str)]) -> OfferResponse {
        self.try_offer(attempt, changes).await.unwrap()
    }

    /// The same; `None` when the response breaks off.
    async fn try_offer(&self, attempt: &str, changes: &[(&str, &str)]) -> Option<OfferResponse> {
        let instance = self.sync.agent_instance.to_string();
        let generation = self.sync.generation.to_string();
        let mut headers = vec![
            ("x-limpetloom-attempt", attempt),
            ("x-limpetloom-entry", "probe"),
            ("x-limpetloom-endpoint", "booking-0"),
            ("x-limpetloom-agent-instance", &instance),
            ("x-limpetloom-generation", &generation),
            ("x-limpetloom-class", "booking"),
            ("x-limpetloom-customer", "customer-1"),
            ("x-limpetloom-fingerprint", "f"),
            ("idempotency-key", "k"),
        ];
        headers.retain(|(name, _)| changes.iter().all(|(changed, _)| changed != name));
        headers.extend(changes.iter().filter(|(_, value)| !value.is_empty()));
        let mut req = Request::post(format!("http://{}/hold", self.agent().traffic()));
        for (name, value) in headers {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(Bytes::from(BOOKING))).unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        OfferResponse::read(client.request(req).await.ok()?).await
    }

    async fn settle(&self, attempt: &str) -> SettleReply {
        let request = SettleRequest {
            key: "k".to_owned(),
            attempt: attempt.to_owned(),
        };
        self.clients
            .call(self.agent().control(), |client| async move {
                client.settle(request).await
            })
            .await
            .unwrap()
    }

    fn runs(&self) -> u64 {
        self.site.services[0].service.counters().runs
    }
}

fn service_agent(site: &Site) -> &AgentHandle {
    site.services[0].agent.as_ref().unwrap()
}

async fn sync(clients: &ControlClients, agent: &AgentHandle, generation: u64) -> SyncReply {
    let request = SyncRequest {
        seen_instance: None,
        seen_revision: None,
        config: None,
        entry: "probe".to_owned(),
        generation,
        placement: None,
        placement_version: None,
        quarantine: Vec::new(),
        store: StoreContact {
            age_ms: 0,
            echo_ms: None,
            outages: Vec::new(),
            reachable: false,
            stamp_ms: None,
        },
        zone: None,
    };
    clients
        .call(agent.control(), |client| async move {
            client.sync(request).await
        })
        .await
        .unwrap()
}

/// An agent's response to an offer.
#[derive(Debug)]
struct OfferResponse {
    status: u16,
    code: Option<u16>,
    attempt: Option<String>,
    body: Bytes,
}

impl OfferResponse {
    /// Reads a response; `None` when its body breaks off.
    async fn read(res: Response<hyper::body::Incoming>) -> Option<Self> {
        let text = |name: &str| {
            let value = res.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        Some(Self {
            status: res.status().as_u16(),
            code: text("x-limpetloom-code").and_then(|code| code.parse().ok()),
            attempt: text("x-limpetloom-attempt"),
            body: res.into_body().collect().await.ok()?.to_bytes(),
        })
    }
}

#[rstest]
#[case::another_instance(&[("x-limpetloom-agent-instance", "1")], 2012)]
#[case::no_attempt(&[("x-limpetloom-attempt", "")], 1001)]
#[case::no_generation(&[("x-limpetloom-generation", "")], 1001)]
#[case::instance_not_a_number(&[("x-limpetloom-agent-instance", "x")], 1001)]
#[case::unknown_endpoint(&[("x-limpetloom-endpoint", "other-0")], 2004)]
#[case::unknown_class(&[("x-limpetloom-class", "other")], 1003)]
#[case::a_version_for_a_service_without_versions(&[("x-limpetloom-version", "digest")], 2013)]
#[case::no_key(&[("idempotency-key", "")], 1005)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_offer_is_refused_and_not_run(
    #[case] changes: &[(&str, &str)],
    #[case] code: u16,
) {
    let fixture = Fixture::start().await;
    let response = fixture.offer("a1", changes).await;
    assert_eq!(response.code, Some(code), "{response:?}");
    assert_eq!(fixture.runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_offer_is_refused_with_the_newer_configuration() {
    let fixture = Fixture::start().await;
    let response = fixture
        .offer("a1", &[("x-limpetloom-generation", "0")])
        .await;
    assert_eq!((response.status, response.code), (409, Some(2006)));
    let doc = serde_json::from_slice::<VersionedDocument>(&response.body).unwrap();
    assert_eq!(doc.generation, fixture.sync.generation);
    assert_eq!(fixture.runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_names_its_attempt_and_a_key_runs_once() {
    let fixture = Fixture::start().await;
    let first = fixture.offer("a1", &[]).await;
    assert_eq!((first.status, first.code), (200, None));
    assert_eq!(first.attempt.as_deref(), Some("a1"));
    let again = fixture.offer("a1", &[]).await;
    let other = fixture.offer("a2", &[]).await;
    assert_eq!(fixture.runs(), 1);
    for response in [again, other] {
        let is_replay = response.status == 200 && response.body == first.body;
        assert!(is_replay || response.code.is_some(), "{response:?}");
    }
    assert_eq!(fixture.settle("a1").await.state, SettleState::Done);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_attempt_that_was_settled_never_runs() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.settle("late").await.state, SettleState::Fenced);
    let response = fixture.offer("late", &[]).await;
    assert_eq!(response.code, Some(2016), "{response:?}");
    assert_eq!(fixture.runs(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_answer_is_lost_is_not_reported_as_not_run() {
    let fixture = Fixture::start().await;
    fixture.site.services[0]
        .service
        .update_faults(|faults| faults.lose_answer_next = 1);
    let response = fixture.offer("a1", &[]).await;
    assert_eq!(response.code, Some(3001), "{response:?}");
    assert_eq!(fixture.settle("a1").await.state, SettleState::Unknown);
    let again = fixture.offer("a2", &[]).await;
    assert!(again.code.is_some(), "{again:?}");
    assert_eq!(fixture.runs(), 1);
}

/// An answer of each framing, and whether it ends with its connection.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", false)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    false
)]
#[case::connection("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nbody", true)]
#[case::stream(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: 1\n\ndata: [DONE]\n\n",
    true
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_answer_of_an_endpoint_is_no_success(
    #[case] answer: &'static str,
    #[case] ends_with_connection: bool,
    #[values(ConnectionEnd::Close, ConnectionEnd::Reset)] end: ConnectionEnd,
) {
    let fixture = Fixture::start().await;
    let head = answer.find("\r\n\r\n").unwrap() + 4;
    let is_stream = answer.contains("event-stream");
    for cut in 0..=answer.len() {
        let sent = &answer[..cut];
        let raw = RawAnswer::new(sent, end);
        let service = &fixture.site.services[0].service;
        service.update_faults(|faults| faults.raw = Some(raw));
        let runs = fixture.runs();
        let name = format!("a{cut}");
        // A class whose requests need no key.
        let changes = [("x-limpetloom-class", "lookup"), ("idempotency-key", "")];
        let response = fixture.try_offer(&name, &changes).await;
        assert_eq!(fixture.runs(), runs + 1, "{cut}");
        let is_whole = match (is_stream, ends_with_connection) {
            (true, _) => sent.ends_with("[DONE]\n\n"),
            (false, true) => cut >= head && end == ConnectionEnd::Close,
            (false, false) => cut == answer.len(),
        };
        let is_success = response.is_some_and(|response| response.status == 200);
        assert_eq!(is_success, is_whole, "{sent:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sync_reply_lists_endpoints_and_holds_only_a_newer_configuration() {
    let fixture = Fixture::start().await;
    let SyncReply {
        config, endpoints, ..
    } = sync(&fixture.clients, fixture.agent(), 0).await;
    assert_eq!(config.unwrap().generation, fixture.sync.generation);
    assert_eq!(endpoints.len(), 1);
    assert_eq!(endpoints[0].endpoint, "booking-0");
    let generation = fixture.sync.generation;
    let up_to_date = sync(&fixture.clients, fixture.agent(), generation).await;
    assert_eq!(up_to_date.config, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_call_without_the_token_is_refused() {
    let fixture = Fixture::start().await;
    let clients = ControlClients::new(Secret::new("another-token-entirely"), CALL_TIMEOUT);
    let request = SettleRequest {
        key: "k".to_owned(),
        attempt: "a1".to_owned(),
    };
    let result = clients
        .call(fixture.agent().control(), |client| async move {
            client.settle(request).await
        })
        .await;
    assert!(result.is_err());
    assert_eq!(fixture.offer("a1", &[]).await.status, 200);
}
