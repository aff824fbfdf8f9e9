//! A plain service, which runs each request in a few milliseconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::http;

/// Id of its only engine, and its entry in the store.
pub const ID: &str = "i-desk-1";
const WORK_TIME: Duration = Duration::from_millis(30);

/// Starts the service; returns the number of requests that it has run.
pub fn start(addr: SocketAddr) -> std::io::Result<Arc<AtomicU64>> {
    let runs = Arc::new(AtomicU64::new(0));
    let counted = runs.clone();
    http::serve(
        addr,
        Arc::new(move |request, stream| {
            let id = request.header("request-id").unwrap_or_default();
            let echo = format!("Request-Id: {id}\r\n");
            if request
                .header("expect-instance")
                .is_some_and(|meant| meant != ID)
            {
                return http::answer(stream, "421 Misdirected Request", &echo, b"");
            }
            counted.fetch_add(1, Ordering::SeqCst);
            thread::sleep(WORK_TIME);
            let head = format!("{echo}Server-Stamp: {ID}.{id}\r\n");
            http::answer(stream, "200 OK", &head, &[b'x'; 800])
        }),
    )?;
    Ok(runs)
}

pub fn spec(addr: SocketAddr, zone: &str, seq: u64) -> String {
    format!(
        r#"{{"service":"desk","address":"{addr}","zone":"{zone}","version":"s1","slots":6,"state":"ready","coldLeftMs":0,"seq":{seq},"born":1767225600000}}"#
    )
}
