use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use rstest::rstest;

use super::*;
use crate::settings::Secret;
use crate::wire::{ProcessControlClient, ProcessControlServer};

struct FixedDump;

#[jsonrpsee::core::async_trait]
impl ProcessControlServer for FixedDump {
    async fn dump(&self) -> RpcResult<serde_json::Value> {
        Ok(serde_json::json!({"state": "fixed"}))
    }
}

async fn server(token: &str) -> ControlServer {
    let mut methods = RpcModule::new(());
    methods.merge(FixedDump.into_rpc()).unwrap();
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    ControlServer::spawn(addr, Secret::new(token), ControlLimits::default(), methods)
        .await
        .unwrap()
}

#[rstest]
#[case::correct("0123456789abcdef", "0123456789abcdef", true)]
#[case::wrong("0123456789abcdef", "0123456789abcdeg", false)]
#[case::prefix("0123456789abcdef", "0123456789abcde", false)]
#[case::empty("0123456789abcdef", "", false)]
#[tokio::test]
async fn calls_need_the_correct_token(
    #[case] required: &str,
    #[case] presented: &str,
    #[case] allowed: bool,
) {
    let server = server(required).await;
    let clients = ControlClients::new(Secret::new(presented), Duration::from_secs(5));
    let dump = clients
        .call(server.addr(), |client| async move { client.dump().await })
        .await;
    assert_eq!(dump.is_ok(), allowed, "{dump:?}");
}

#[tokio::test]
async fn broken_connection_is_reopened() {
    let first = server("token").await;
    let addr = first.addr();
    let clients = ControlClients::new(Secret::new("token"), Duration::from_secs(5));
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
    methods.merge(FixedDump.into_rpc()).unwrap();
    let limits = ControlLimits::default();
    let second = ControlServer::spawn(addr, Secret::new("token"), limits, methods)
        .await
        .unwrap();
    clients
        .call(second.addr(), |client| async move { client.dump().await })
        .await
        .unwrap();
}
