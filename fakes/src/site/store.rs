//! Stand-in for the platform's metadata store.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::raw::Flood;
use crate::reply::{Reply, answer, json as json_answer, query_number, query_param};
use crate::server::{ANY_PORT, Server};

/// Path of the objects; the kind follows.
const OBJECTS_PATH: &str = "/limpetloom/objects/";
/// Header of every answer: rises by one each time that the store loses changes.
const ERA_HEADER: &str = "store-era";
/// Largest number of objects in an answer to a list.
const PAGE_SIZE: usize = 50;

/// Answers about a kind of object that the store keeps back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withheld {
    /// Answers to watches that may wait for a change.
    Watches,
    /// All answers.
    Everything,
}

#[derive(Debug, Default)]
struct State {
    /// Revision of the newest change.
    revision: u64,
    /// Number of times that the store lost changes, from 1.
    era: u64,
    /// Objects by kind and name, as they are sent.
    objects: BTreeMap<(String, String), Bytes>,
    /// Each change, oldest first: the object's kind and name, and the object before; `None` when
    /// there was none.
    undo: Vec<((String, String), Option<Bytes>)>,
    /// Changes, oldest first: revision, kind, whether the object was removed, the object.
    history: Vec<(u64, String, bool, Bytes)>,
    /// Largest number of objects in an answer to a list; `None` for `PAGE_SIZE`.
    page_size: Option<usize>,
    /// Revision up to which the history was dropped; 0 for never.
    compacted_to: u64,
    /// Time for which changes are kept; `None` for ever.
    history_time: Option<Duration>,
    /// Calls of all kinds so far.
    calls: u64,
    /// Bytes that calls are answered with.
    flood: Option<Flood>,
    /// True while each list is answered with its first page, as if another one followed.
    has_endless_lists: bool,
    /// True when answers do not name the era.
    hides_era: bool,
    /// Answers that are kept back, by kind.
    withheld: BTreeMap<String, Withheld>,
    /// Kinds whose next answer to a watch that may wait is lost on a connection that stays open.
    lost_watches: BTreeSet<String>,
}

/// Running stand-in for the metadata store; dropping it stops it.
#[derive(Debug)]
pub struct SiteStore {
    state: Arc<Mutex<State>>,
    /// Revision of the newest change; wakes waiting watches.
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
            era: 1,
            ..State::default()
        }));
        let changed = Arc::new(watch::Sender::new(10));
        let (shared, changes) = (state.clone(), changed.clone());
        let server = Server::spawn(ANY_PORT, move |req| {
            serve(shared.clone(), changes.subscribe(), req)
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

    /// Takes the store off the network, which closes all its connections, or back onto it.
    pub fn set_online(&self, online: bool) {
        self.server.set_online(online);
    }

    /// Answers all further calls with a flood, or properly again. Waiting watches end.
    pub fn set_flood(&self, flood: Option<Flood>) {
        lock(&self.state).flood = flood;
        self.set_online(false);
        self.set_online(true);
    }

    /// Answers each list with its first page, as if another one followed, or properly again.
    pub fn set_endless_lists(&self, is_endless: bool) {
        lock(&self.state).has_endless_lists = is_endless;
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.change(kind, name, Some(spec));
    }

    /// Creates or replaces an object with any bytes, as another writer may; they are sent as they are.
    pub fn put_raw(&self, kind: &str, name: &str, object: impl Into<Bytes>) {
        self.change_raw(kind, name, false, |_| object.into());
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Removes an object; the watches are sent it with these bytes.
    pub fn remove_raw(&self, kind: &str, name: &str, object: impl Into<Bytes>) {
        self.change_raw(kind, name, true, |_| object.into());
    }

    /// Sets the largest number of objects in an answer to a list.
    pub fn set_page_size(&self, objects: usize) {
        lock(&self.state).page_size = Some(objects);
    }

    /// Drops the history, so that watches from an earlier revision are answered with status 410.
    pub fn compact_history(&self) {
        let mut state = lock(&self.state);
        state.compacted_to = state.revision;
        state.history.clear();
    }

    /// Returns as an older copy: the newest `changes` and the history are lost, their revisions are
    /// given out again, and the era rises by one. Waiting watches are answered with status 410.
    pub fn roll_back(&self, changes: usize) {
        let mut state = lock(&self.state);
        for _ in 0..changes {
            let Some((key, before)) = state.undo.pop() else {
                break;
            };
            state.revision -= 1;
            match before {
                Some(object) => state.objects.insert(key, object),
                None => state.objects.remove(&key),
            };
        }
        state.era += 1;
        state.compacted_to = state.revision;
        state.history.clear();
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Keeps back answers about a kind, also of calls that wait already.
    pub fn withhold(&self, kind: &str, withheld: Withheld) {
        lock(&self.state).withheld.insert(kind.to_owned(), withheld);
    }

    /// Loses the next answer to a watch of a kind that may wait. Its connection stays open, and all other
    /// answers are sent.
    pub fn lose_watch_answer(&self, kind: &str) {
        lock(&self.state).lost_watches.insert(kind.to_owned());
    }

    /// Leaves the era out of the answers, or names it again.
    pub fn hide_era(&self, is_hidden: bool) {
        lock(&self.state).hides_era = is_hidden;
    }

    /// Names of the objects of a kind that can be read, with their `spec`.
    pub fn objects(&self, kind: &str) -> BTreeMap<String, Value> {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        of_kind
            .filter_map(|((_, name), object)| {
                let object: Value = serde_json::from_slice(object).ok()?;
                Some((name.clone(), object["spec"].clone()))
            })
            .collect()
    }

    /// Sets for how long changes are kept. A watch that has waited longer is answered with status 410
    /// at the next change.
    pub fn set_history_time(&self, time: Duration) {
        lock(&self.state).history_time = Some(time);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Writes an object or, when `spec` is `None`, removes it, and wakes the watches.
    fn change(&self, kind: &str, name: &str, spec: Option<Value>) {
        self.change_raw(kind, name, spec.is_none(), |revision| {
            let metadata = json!({
                "name": name, "revision": revision, "created": revision,
                "finalizers": [], "isDeleting": false,
            });
            let object = json!({"metadata": metadata, "spec": spec, "status": null});
            object.to_string().into()
        });
    }

    /// The same with the bytes that `encode` makes for the revision of the change.
    fn change_raw(
        &self,
        kind: &str,
        name: &str,
        is_removed: bool,
        encode: impl FnOnce(u64) -> Bytes,
    ) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let object = encode(revision);
        let key = (kind.to_owned(), name.to_owned());
        let before = match is_removed {
            true => state.objects.remove(&key),
            false => state.objects.insert(key.clone(), object.clone()),
        };
        state.undo.push((key, before));
        state
            .history
            .push((revision, kind.to_owned(), is_removed, object));
        drop(state);
        self.changed.send_replace(revision);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(
    state: Arc<Mutex<State>>,
    changed: watch::Receiver<u64>,
    req: Request<Incoming>,
) -> Reply {
    {
        let mut state = lock(&state);
        state.calls += 1;
        if let Some(flood) = state.flood {
            let raw = flood.replacing(&answer(StatusCode::OK, ""));
            return Some(raw.into_response());
        }
    }
    let kind = req.uri().path().strip_prefix(OBJECTS_PATH)?.to_owned();
    let may_wait = query_number(&req, "waitMs") > 0;
    let mut res = answer_call(state.clone(), changed, &kind, &req).await?;
    let withheld = lock(&state).withheld.get(&kind).copied();
    let is_lost = may_wait && lock(&state).lost_watches.remove(&kind);
    if is_lost
        || withheld == Some(Withheld::Everything)
        || (may_wait && withheld == Some(Withheld::Watches))
    {
        std::future::pending::<()>().await;
    }
    let state = lock(&state);
    if !state.hides_era {
        res.headers_mut().insert(ERA_HEADER, state.era.into());
    }
    Some(res)
}

async fn answer_call(
    state: Arc<Mutex<State>>,
    mut changed: watch::Receiver<u64>,
    kind: &str,
    req: &Request<Incoming>,
) -> Reply {
    if req.method() != Method::GET {
        return Some(answer(StatusCode::METHOD_NOT_ALLOWED, ""));
    }
    if query_param(req, "watch").is_none() {
        return Some(list(&lock(&state), kind, query_param(req, "after")));
    }
    let since = query_number(req, "watch");
    let wait = Duration::from_millis(query_number(req, "waitMs"));
    let started_at = tokio::time::Instant::now();
    let started_era = lock(&state).era;
    let next_changes = async {
        loop {
            changed.borrow_and_update();
            let (changes, history_time) = {
                let state = lock(&state);
                if state.era != started_era {
                    return None;
                }
                (changes_since(&state, kind, since), state.history_time)
            };
            if let Some(changes) = changes {
                let is_gone = history_time.is_some_and(|time| started_at.elapsed() > time);
                return changes.filter(|_| !is_gone);
            }
            if changed.changed().await.is_err() {
                return None;
            }
        }
    };
    let changes = tokio::time::timeout(wait, next_changes).await;
    Some(match changes {
        Ok(None) => answer(StatusCode::GONE, ""),
        Ok(Some(changes)) => answer(StatusCode::OK, changes),
        Err(_) => json_answer(&json!({"events": [], "at": lock(&state).revision})),
    })
}

/// Changes to objects of a kind after a revision: `None` when there are none yet, `Some(None)` when
/// the history was dropped or the revision was not given out yet.
fn changes_since(state: &State, kind: &str, since: u64) -> Option<Option<Bytes>> {
    if since < state.compacted_to || since > state.revision {
        return Some(None);
    }
    let events: Vec<Vec<u8>> = state
        .history
        .iter()
        .filter(|(revision, changed_kind, ..)| *revision > since && changed_kind == kind)
        .map(|(_, _, is_removed, object)| {
            let head = format!(r#"{{"isGone":{is_removed},"object":"#);
            [head.as_bytes(), object, b"}"].concat()
        })
        .collect();
    let tail = format!(r#"],"at":{}}}"#, state.revision);
    let answer = || [br#"{"events":["#, &*events.join(&b','), tail.as_bytes()].concat();
    (!events.is_empty()).then(|| Some(answer().into()))
}

/// One page of the objects of a kind, those with names after `after`.
fn list(state: &State, kind: &str, after: Option<String>) -> hyper::Response<crate::reply::Body> {
    let after = after.filter(|_| !state.has_endless_lists);
    let of_kind = state.objects.iter().filter(|((object_kind, name), _)| {
        object_kind == kind && after.as_deref().is_none_or(|after| name.as_str() > after)
    });
    let mut items: Vec<&[u8]> = of_kind.map(|(_, object)| &**object).collect();
    let page_size = state.page_size.unwrap_or(PAGE_SIZE);
    let has_more = items.len() > page_size || state.has_endless_lists;
    items.truncate(page_size);
    let tail = format!(r#"],"hasMore":{has_more},"at":{}}}"#, state.revision);
    let page = [br#"{"items":["#, &*items.join(&b','), tail.as_bytes()].concat();
    answer(StatusCode::OK, page)
}
