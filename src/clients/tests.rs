//! Tests of the clients' socket options, and of lists with odd items.

use hyper::StatusCode;
use limpetloom_fakes::reply;
use limpetloom_fakes::server::{ANY_PORT, Server};
use rstest::rstest;
use socket2::{Domain, Socket, TcpKeepalive, Type};

use super::http::{KEEPALIVE_IDLE, KEEPALIVE_INTERVAL};
use super::{HostList, HttpClient, HttpHostList, HttpTimeouts, PlatformError};

/// The operating system accepts the clients' socket options.
#[test]
fn kernel_accepts_the_keepalive_times() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive).unwrap();
    assert_eq!(socket.tcp_keepalive_time().unwrap(), KEEPALIVE_IDLE);
    assert_eq!(socket.tcp_keepalive_interval().unwrap(), KEEPALIVE_INTERVAL);
}

fn host(name: &str) -> String {
    format!(
        r#"{{"host":"{name}","zone":"a","region":"north","role":"agent",
            "control":"127.0.0.1:1","traffic":"127.0.0.1:2"}}"#
    )
}

/// A client of a server that answers with this list.
fn host_list(list: String) -> (Server, HttpHostList) {
    let server = Server::spawn(ANY_PORT, move |_| {
        let list = list.clone();
        async move { Some(reply::answer(StatusCode::OK, list)) }
    })
    .unwrap();
    let client = HttpHostList::new(server.addr(), HttpClient::new(HttpTimeouts::default()));
    (server, client)
}

/// Regression: one item of the host list that could not be read failed the whole list.
#[rstest]
#[case::nested("[".repeat(200) + &"]".repeat(200))]
#[case::large_number(r#"{"host":"odd","leaving":1e999}"#.to_owned())]
#[case::missing_fields(r#"{"host":"odd"}"#.to_owned())]
#[case::unknown_role(host("odd").replace("agent", "gateway"))]
#[case::port_out_of_range(host("odd").replace("127.0.0.1:2", "127.0.0.1:70000"))]
#[tokio::test]
async fn hosts_are_listed_beside_an_item_that_cannot_be_read(#[case] odd: String) {
    let list = format!("[{},{odd},{}]", host("a"), host("b"));
    let (_server, client) = host_list(list);
    for _ in 0..2 {
        let hosts = client.hosts().await.unwrap();
        let names: Vec<_> = hosts.iter().map(|host| &*host.host).collect();
        assert_eq!(names, ["a", "b"]);
    }
}

#[tokio::test]
async fn a_truncated_host_list_is_not_taken_for_a_shorter_one() {
    let list = format!("[{},{}", host("a"), host("b"));
    let (_server, client) = host_list(list);
    let listed = client.hosts().await;
    assert!(
        matches!(listed, Err(PlatformError::Invalid(_))),
        "{listed:?}"
    );
}
