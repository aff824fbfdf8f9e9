//! Contract of the clients for the host list, the origin and the weight store, run against fakes.

use std::time::Duration;

use limpetloom::clients::{
    HostList, HttpClient, HttpHostList, HttpTimeouts, HttpWeightSource, PlatformError, WeightSource,
};
use limpetloom::membership::HostRole;
use limpetloom_fakes::hosts::{Host, Hosts, HostsConfig, Role};
use limpetloom_fakes::origin::{Origin, OriginConfig, OriginFaults};
use rstest::rstest;

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect: Duration::from_millis(200),
    total: Duration::from_secs(1),
};
const CHUNK_BYTES: u32 = 1000;

fn host(name: &str, role: Role) -> Host {
    Host {
        host: name.to_owned(),
        zone: "kochi-a".to_owned(),
        region: "kerala".to_owned(),
        role,
        control: ([127, 0, 0, 1], 1).into(),
        traffic: ([127, 0, 0, 1], 2).into(),
        leaving: false,
    }
}

#[tokio::test]
async fn the_host_list_shows_roles_and_leaving_hosts() {
    let hosts = Hosts::spawn(HostsConfig::default()).unwrap();
    let list = HttpHostList::new(hosts.addr(), HttpClient::new(TIMEOUTS));
    assert_eq!(list.hosts().await, Ok(Vec::new()));
    hosts.add(host("e1", Role::Entry));
    hosts.add(host("a1", Role::Agent));
    hosts.set_leaving("a1", true);
    let listed = list.hosts().await.unwrap();
    assert_eq!(listed.len(), 2);
    assert_eq!(
        (listed[0].role, listed[0].leaving),
        (HostRole::Entry, false)
    );
    assert_eq!((listed[1].role, listed[1].leaving), (HostRole::Agent, true));
}

#[rstest]
#[case::no_lag(Duration::ZERO, 1)]
#[case::lagging(Duration::from_secs(3600), 0)]
#[tokio::test]
async fn a_new_host_is_listed_after_the_lag(#[case] lag: Duration, #[case] expected: usize) {
    let hosts = Hosts::spawn(HostsConfig {
        lag,
        ..HostsConfig::default()
    })
    .unwrap();
    let list = HttpHostList::new(hosts.addr(), HttpClient::new(TIMEOUTS));
    hosts.add(host("a1", Role::Agent));
    assert_eq!(list.hosts().await.unwrap().len(), expected);
}

fn origin() -> (Origin, HttpWeightSource) {
    let origin = Origin::spawn(OriginConfig::default()).expect("the fake origin starts");
    let source = HttpWeightSource::new(origin.addr(), HttpClient::new(TIMEOUTS));
    (origin, source)
}

/// Chunk digests listed in the manifest.
fn digests(manifest: &[u8]) -> Vec<String> {
    let manifest =
        serde_json::from_slice::<serde_json::Value>(manifest).expect("the manifest is JSON");
    serde_json::from_value(manifest["chunks"].clone()).expect("chunks is a list of digests")
}

#[tokio::test]
async fn chunks_and_the_manifest_match_their_digests() {
    let (origin, source) = origin();
    let digest = origin.publish("lm", "v1", 1, 3500, CHUNK_BYTES);
    let manifest = source.manifest("lm", "v1").await.unwrap();
    assert_eq!(blake3::hash(&manifest).to_hex().as_str(), digest);
    let digests = digests(&manifest);
    assert_eq!(digests.len(), 4);
    for (index, digest) in digests.iter().enumerate() {
        let chunk = source.chunk("lm", "v1", index as u32).await.unwrap();
        assert_eq!(blake3::hash(&chunk).to_hex().as_str(), digest);
    }
    assert_eq!(origin.counters().bytes, 3500);
}

#[tokio::test]
async fn other_weights_published_under_the_same_name_are_another_version() {
    let (origin, source) = origin();
    let old = origin.publish("lm", "v1", 1, 1000, CHUNK_BYTES);
    let manifest = source.manifest("lm", "v1").await.unwrap();
    let new = origin.publish("lm", "v1", 2, 1000, CHUNK_BYTES);
    assert_ne!(old, new);
    let chunk = source.chunk("lm", "v1", 0).await.unwrap();
    assert_ne!(
        blake3::hash(&chunk).to_hex().as_str(),
        digests(&manifest)[0]
    );
}

#[rstest]
#[case::model("other", "v1", 0)]
#[case::version("lm", "v2", 0)]
#[case::index("lm", "v1", 4)]
#[tokio::test]
async fn an_unknown_chunk_is_missing(
    #[case] model: &str,
    #[case] version: &str,
    #[case] index: u32,
) {
    let (origin, source) = origin();
    origin.publish("lm", "v1", 1, 3500, CHUNK_BYTES);
    let e = source.chunk(model, version, index).await.unwrap_err();
    assert_eq!(e, PlatformError::Missing);
}

#[rstest]
#[case::outage(OriginFaults { outage: true, ..OriginFaults::default() }, true)]
#[case::stalled(OriginFaults { stalled: true, ..OriginFaults::default() }, false)]
#[tokio::test]
async fn a_chunk_that_cannot_be_read_whole_is_an_error(
    #[case] faults: OriginFaults,
    #[case] is_refused: bool,
) {
    let (origin, source) = origin();
    origin.publish("lm", "v1", 1, 3500, CHUNK_BYTES);
    origin.update_faults(|current| *current = faults);
    let e = source.chunk("lm", "v1", 0).await.unwrap_err();
    assert_eq!(e.is_without_effect(), is_refused, "{e}");
}

#[tokio::test]
async fn a_corrupt_chunk_does_not_match_its_digest() {
    let (origin, source) = origin();
    origin.publish("lm", "v1", 1, 3500, CHUNK_BYTES);
    origin.update_faults(|faults| faults.corrupt_every = 2);
    let digests = digests(&source.manifest("lm", "v1").await.unwrap());
    let good = source.chunk("lm", "v1", 0).await.unwrap();
    let bad = source.chunk("lm", "v1", 1).await.unwrap();
    assert_eq!(blake3::hash(&good).to_hex().as_str(), digests[0]);
    assert_ne!(blake3::hash(&bad).to_hex().as_str(), digests[1]);
}
