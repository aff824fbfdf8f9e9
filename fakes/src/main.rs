//! Runs a set of stand-ins on fixed ports, to try the limpetloom binary by hand.

#![allow(clippy::print_stdout)]

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use limpetloom_fakes::engine::{Engine, EngineConfig};
use limpetloom_fakes::hosts::{Host, Hosts, HostsConfig};
use limpetloom_fakes::objects::{Objects, ObjectsConfig};
use limpetloom_fakes::origin::{Origin, OriginConfig};
use limpetloom_fakes::service::{Service, ServiceConfig};

/// Name of the published model.
const MODEL: &str = "lm";
/// Published versions of the model.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Size of the chunks of a version, in bytes.
const CHUNK_BYTES: u32 = 1 << 20;

/// Stand-ins for object API, host list, weight store, origin, model engines and a plain service.
#[derive(Debug, FromArgs)]
struct Args {
    /// file with the host list, as JSON
    #[argh(option)]
    hosts: PathBuf,
    /// port of the object API; host list, weight store and origin follow
    #[argh(option, default = "7000")]
    port: u16,
    /// port of the first engine; the other engines and the plain service follow
    #[argh(option, default = "7010")]
    endpoint_port: u16,
    /// number of engines
    #[argh(option, default = "3")]
    engines: u16,
    /// size of a version, in MiB
    #[argh(option, default = "32")]
    weights_mib: u64,
    /// time between two tokens, in milliseconds
    #[argh(option, default = "20")]
    token_ms: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let listed_hosts = serde_json::from_slice::<Vec<Host>>(&std::fs::read(&args.hosts)?)?;

    let objects = Objects::spawn(ObjectsConfig {
        addr: loopback(args.port),
        ..ObjectsConfig::default()
    })?;
    let hosts = Hosts::spawn(HostsConfig {
        addr: loopback(args.port + 1),
        ..HostsConfig::default()
    })?;
    hosts.update(|hosts| *hosts = listed_hosts);
    let store = spawn_origin(&args, args.port + 2)?;
    let origin = spawn_origin(&args, args.port + 3)?;
    let engines = (0..args.engines)
        .map(|index| spawn_engine(&args, index))
        .collect::<Result<Vec<_>, _>>()?;
    let service = Service::spawn(ServiceConfig {
        addr: loopback(args.endpoint_port + args.engines),
        ..ServiceConfig::default()
    })?;

    println!("object API    {}", objects.addr());
    println!("host list     {}", hosts.addr());
    println!("weight store  {}", store.addr());
    println!("origin        {}", origin.addr());
    for engine in &engines {
        println!("model engine  {}", engine.addr());
    }
    println!("plain service {}", service.addr());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Starts a stand-in that serves all versions, as the origin and the weight store do.
fn spawn_origin(args: &Args, port: u16) -> std::io::Result<Origin> {
    let origin = Origin::spawn(OriginConfig {
        addr: loopback(port),
        ..OriginConfig::default()
    })?;
    for (seed, version) in (1..).zip(VERSIONS) {
        origin.publish(MODEL, version, seed, args.weights_mib << 20, CHUNK_BYTES);
    }
    Ok(origin)
}

fn spawn_engine(args: &Args, index: u16) -> std::io::Result<Engine> {
    Engine::spawn(EngineConfig {
        addr: loopback(args.endpoint_port + index),
        token_interval: Duration::from_millis(args.token_ms),
        ..EngineConfig::default()
    })
}
