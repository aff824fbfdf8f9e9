//! Life of a stand-in's server.

use std::time::Duration;

use hyper::StatusCode;
use limpetloom_fakes::reply::answer;
use limpetloom_fakes::server::{ANY_PORT, Server};
use tokio::runtime::Handle;

/// Turns of the runtime within which a task ends that has nothing to wait for.
const TURNS: usize = 1_000;

#[tokio::test]
async fn a_dropped_server_leaves_no_task_behind() {
    let before = Handle::current().metrics().num_alive_tasks();
    let server = Server::spawn(ANY_PORT, |_| async { Some(answer(StatusCode::OK, "")) }).unwrap();
    tokio::time::sleep(Duration::from_millis(1)).await;
    drop(server);
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
    assert_eq!(Handle::current().metrics().num_alive_tasks(), before);
}
