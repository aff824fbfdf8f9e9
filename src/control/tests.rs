use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use rstest::rstest;

use super::*;
use crate::wire::{ProcessControlClient, ProcessControlServer};

struct Fixed;

#[jsonrpsee::core::async_trait]
impl ProcessControlServer for Fixed {
    async fn dump(&self) -> RpcResult<serde_json::Value> {
        Ok(serde_json::json!({"state": "fixed"}))
    }
}

async fn server(token: Option<Arc<str>>) -> ControlServer {
    let mut methods = RpcModule::new(());
    methods.merge(Fixed.into_rpc()).unwrap();
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    ControlServer::spawn(addr, token, ControlLimits::default(), methods)
        .await
        .unwrap()
}

#[rstest]
#[case::open(None, None, true)]
#[case::right(Some("secret"), Some("secret"), true)]
#[case::wrong(Some("secret"), Some("guess"), false)]
#[case::missing(Some("secret"), None, false)]
#[tokio::test]
async fn token_decides(
    #[case] wanted: Option<&str>,
    #[case] presented: Option<&str>,
    #[case] allowed: bool,
) {
    let server = server(wanted.map(Arc::from)).await;
    let clients = ControlClients::new(presented.map(Arc::from), Duration::from_secs(5));
    let dump = clients
        .call(server.addr(), |client| async move { client.dump().await })
        .await;
    assert_eq!(dump.is_ok(), allowed, "{dump:?}");
}

#[tokio::test]
async fn a_broken_connection_is_opened_again() {
    let first = server(None).await;
    let addr = first.addr();
    let clients = ControlClients::new(None, Duration::from_secs(5));
    clients
        .call(addr, |client| async move { client.dump().await })
        .await
        .unwrap();
    drop(first);
    while clients
        .call(addr, |client| async move { client.dump().await })
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    let mut methods = RpcModule::new(());
    methods.merge(Fixed.into_rpc()).unwrap();
    let limits = ControlLimits::default();
    let second = ControlServer::spawn(addr, None, limits, methods)
        .await
        .unwrap();
    clients
        .call(second.addr(), |client| async move { client.dump().await })
        .await
        .unwrap();
}
