//! The platform's metadata store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::reply::{Reply, answer, json as json_answer, query, query_number};
use crate::server::{ANY_PORT, Server};

const PATH: &str = "/limpetloom/objects/";
/// Objects of one page.
const PAGE: usize = 50;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Changes, oldest first: revision, kind, whether it is gone, the object.
    history: Vec<(u64, String, bool, Value)>,
    /// Revision up to which the history is gone.
    forgotten: u64,
    calls: u64,
}

/// The store; dropping it stops it.
#[derive(Debug)]
pub struct SiteStore {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    server: Server,
}

impl SiteStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// The system's error when no address can be bound.
    pub fn spawn() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            revision: 10,
            ..State::default()
        }));
        let changed = Arc::new(watch::Sender::new(10));
        let (shared, news) = (state.clone(), changed.clone());
        let server = Server::spawn(ANY_PORT, move |req| {
            serve(shared.clone(), news.subscribe(), req)
        })?;
        Ok(Self {
            state,
            changed,
            server,
        })
    }

    /// Address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Takes the store down, which cuts all its connections, or up again.
    pub fn set_online(&self, up: bool) {
        self.server.set_online(up);
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.change(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Drops the history, so that watches from before answer 410.
    pub fn compact_history(&self) {
        let mut state = lock(&self.state);
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let is_gone = spec.is_none();
        let metadata = json!({
            "name": name, "revision": revision, "created": revision,
            "finalizers": [], "isDeleting": false,
        });
        let object = json!({"metadata": metadata, "spec": spec, "status": null});
        match is_gone {
            true => state.objects.remove(&key),
            false => state.objects.insert(key, object.clone()),
        };
        state
            .history
            .push((revision, kind.to_owned(), is_gone, object));
        drop(state);
        self.changed.send_replace(revision);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(
    state: Arc<Mutex<State>>,
    mut changed: watch::Receiver<u64>,
    req: Request<Incoming>,
) -> Reply {
    lock(&state).calls += 1;
    let kind = req.uri().path().strip_prefix(PATH)?.to_owned();
    if req.method() != Method::GET {
        return Some(answer(StatusCode::METHOD_NOT_ALLOWED, ""));
    }
    if query(&req, "watch").is_none() {
        return Some(list(&lock(&state), &kind, query(&req, "after")));
    }
    let since = query_number(&req, "watch");
    let wait = Duration::from_millis(query_number(&req, "waitMs"));
    let news = async {
        loop {
            changed.borrow_and_update();
            if let Some(events) = since_then(&lock(&state), &kind, since) {
                return events;
            }
            if changed.changed().await.is_err() {
                return None;
            }
        }
    };
    let events = tokio::time::timeout(wait, news).await;
    Some(match events {
        Ok(None) => answer(StatusCode::GONE, ""),
        Ok(Some(changes)) => json_answer(&changes),
        Err(_) => json_answer(&json!({"events": [], "at": lock(&state).revision})),
    })
}

/// Changes of a kind: `None` when there are none yet, `Some(None)` when the history is gone.
fn since_then(state: &State, kind: &str, since: u64) -> Option<Option<Value>> {
    if since < state.forgotten {
        return Some(None);
    }
    let events: Vec<Value> = state
        .history
        .iter()
        .filter(|(revision, of, ..)| *revision > since && of == kind)
        .map(|(_, _, is_gone, object)| json!({"isGone": is_gone, "object": object}))
        .collect();
    (!events.is_empty()).then(|| Some(json!({"events": events, "at": state.revision})))
}

fn list(state: &State, kind: &str, after: Option<String>) -> hyper::Response<crate::reply::Body> {
    let of_kind = state.objects.iter().filter(|((of, name), _)| {
        of == kind && after.as_deref().is_none_or(|after| name.as_str() > after)
    });
    let mut items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
    let has_more = items.len() > PAGE;
    items.truncate(PAGE);
    json_answer(&json!({"items": items, "hasMore": has_more, "at": state.revision}))
}
