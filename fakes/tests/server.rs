//! Start and end of a stand-in's server.

use std::time::Duration;

use hyper::StatusCode;
use limpetloom_fakes::reply::answer;
use limpetloom_fakes::server::{ANY_PORT, Server};
use tokio::runtime::Handle;

/// Yields to the runtime after which all tasks that wait for nothing have ended.
const YIELDS: usize = 1_000;

#[tokio::test]
async fn dropping_a_server_ends_its_tasks() {
    let before = Handle::current().metrics().num_alive_tasks();
    let server = Server::spawn(ANY_PORT, |_| async { Some(answer(StatusCode::OK, "")) }).unwrap();
    tokio::time::sleep(Duration::from_millis(1)).await;
    drop(server);
    for _ in 0..YIELDS {
        tokio::task::yield_now().await;
    }
    assert_eq!(Handle::current().metrics().num_alive_tasks(), before);
}
