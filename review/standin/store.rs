//! Stand-in for the platform's metadata store: sound, with one era, and a history that is kept.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, answer, serve};

/// Largest number of objects in an answer to a list.
const PAGE_SIZE: usize = 500;
/// Largest size of the objects in such an answer, if it has more than one.
const PAGE_BYTES: usize = 1 << 20;
/// Start of an answer to a watch that saw no change.
const NO_EVENTS: &str = r#"{"events":[]"#;

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), String>,
    /// Revision, kind, whether the object was removed, and the object.
    history: Vec<(u64, String, bool, String)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Kind of which the next waiting watch is cut off; empty for none.
    cut_kind: Mutex<String>,
    /// Kind of which the answers with changes are lost; empty for none.
    lost_kind: Mutex<String>,
    /// Answers since [`Self::lose`] was called, and those of them that were lost.
    pub answers: AtomicU64,
    pub lost: AtomicU64,
}

impl Store {
    pub fn spawn(addr: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        store.lock().revision = 10;
        let serving = store.clone();
        serve(addr, Arc::new(move |req, out| serving.call(req, out)))?;
        Ok(store)
    }

    /// Loses the answers with changes of a kind from now on, or none. A channel on which an answer was lost
    /// returns nothing further.
    pub fn lose(&self, kind: &str) {
        *self
            .lost_kind
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = kind.into();
        if !kind.is_empty() {
            self.answers.store(0, Ordering::SeqCst);
        }
    }

    fn is_lost(&self, kind: &str) -> bool {
        let lost_kind = self
            .lost_kind
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *lost_kind == kind
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates or replaces an object; it is acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{revision},"finalizers":[],"isDeleting":false}},"spec":{spec},"status":null}}"#
        );
        state
            .objects
            .insert((kind.into(), name.into()), object.clone());
        state.history.push((revision, kind.into(), false, object));
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some(object) = state.objects.remove(&(kind.into(), name.into())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, kind.into(), true, object));
        self.changed.notify_all();
    }

    fn call(&self, req: &Message, out: &mut TcpStream) -> io::Result<bool> {
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        let Some(kind) = req.path().strip_prefix("/limpetloom/objects/") else {
            return answer(out, 404, &headers, b"");
        };
        let body = match req.query_number("watch") {
            Some(since) => {
                let wait = Duration::from_millis(req.query_number("waitMs").unwrap_or(0));
                let Some(body) = self.watch(kind, since, wait) else {
                    return Ok(false);
                };
                body
            }
            None => self.list(kind, req.query("after").unwrap_or_default()),
        };
        self.answers.fetch_add(1, Ordering::SeqCst);
        let has_changes = req.query("watch").is_some() && !body.starts_with(NO_EVENTS);
        if has_changes && self.is_lost(kind) {
            self.lost.fetch_add(1, Ordering::SeqCst);
            // The channel stays open; its caller has to give it up.
            loop {
                thread::sleep(Duration::from_secs(1));
            }
        }
        answer(out, 200, &headers, body.as_bytes())
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.lock();
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && &**name > after);
        let items: Vec<&str> = of_kind.map(|(_, object)| &**object).collect();
        let mut bytes = 0;
        let fitting = items.iter().take(PAGE_SIZE).take_while(|item| {
            bytes += item.len();
            bytes <= PAGE_BYTES
        });
        // One object is sent, however large it is.
        let length = fitting.count().max(1).min(items.len());
        let has_more = items.len() > length;
        let page = items[..length].join(",");
        format!(
            r#"{{"items":[{page}],"hasMore":{has_more},"at":{}}}"#,
            state.revision
        )
    }

    /// Cuts off the next watch of a kind that waits.
    pub fn cut_watch(&self, kind: &str) {
        *self.cut_kind.lock().unwrap_or_else(PoisonError::into_inner) = kind.into();
        let _state = self.lock();
        self.changed.notify_all();
    }

    /// True once for a watch that is to be cut off.
    fn is_cut(&self, kind: &str) -> bool {
        let mut cut_kind = self.cut_kind.lock().unwrap_or_else(PoisonError::into_inner);
        let is_cut = *cut_kind == kind;
        if is_cut {
            cut_kind.clear();
        }
        is_cut
    }

    /// The changes of a kind after a revision; `None` when the watch is cut off.
    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<String> {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(at, k, ..)| *at > since && k == kind);
            let (mut events, mut bytes, mut last) = (Vec::new(), 0, None);
            for (at, _, is_gone, object) in changes {
                bytes += object.len();
                if bytes > PAGE_BYTES && !events.is_empty() {
                    last = events.last().map(|(at, _)| *at);
                    break;
                }
                let event = format!(r#"{{"isGone":{is_gone},"object":{object}}}"#);
                events.push((*at, event));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = last.unwrap_or(state.revision);
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                return Some(format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            if self.is_cut(kind) {
                return None;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
