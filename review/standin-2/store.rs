//! The platform's store, as far as the project reads it: lists and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};

struct State {
    revision: u64,
    /// Objects by kind and name, as JSON.
    objects: BTreeMap<(String, String), String>,
    /// Revision, kind, removal, object.
    changes: Vec<(u64, String, bool, String)>,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let state = State {
            revision: 10,
            objects: BTreeMap::new(),
            changes: Vec::new(),
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            addr,
        };
        let served = store.clone();
        let online = Arc::new(AtomicBool::new(true));
        http::serve(
            addr,
            online,
            Arc::new(move |request, stream| {
                let (status, body) = served.call(&request);
                http::json(stream, status, &body)
            }),
        )?;
        Ok(store)
    }

    /// Creates or replaces an object. The change is acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{revision},"finalizers":[],"isDeleting":false}},"spec":{},"status":null}}"#,
            spec.unwrap_or("{}")
        );
        let key = (kind.to_owned(), name.to_owned());
        match spec {
            Some(_) => drop(state.objects.insert(key, object.clone())),
            None => drop(state.objects.remove(&key)),
        }
        state
            .changes
            .push((revision, kind.to_owned(), spec.is_none(), object));
        changed.notify_all();
    }

    fn call(&self, request: &Request) -> (&'static str, String) {
        let Some(kind) = request.path.strip_prefix("/limpetloom/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        if request.method != "GET" {
            return ("405 Method Not Allowed", "{}".into());
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let Some(since) = request.number("watch") else {
            let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
            let items: Vec<&str> = of_kind.map(|(_, object)| &**object).collect();
            let (items, at) = (items.join(","), state.revision);
            return ("200 OK", format!(r#"{{"items":[{items}],"hasMore":false,"at":{at}}}"#));
        };
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let new = state.changes.iter();
            let new = new.filter(|(revision, k, ..)| *revision > since && k == kind);
            let events: Vec<String> = new
                .map(|(_, _, is_gone, object)| {
                    format!(r#"{{"object":{object},"isGone":{is_gone}}}"#)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
