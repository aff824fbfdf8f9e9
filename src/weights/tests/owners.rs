//! Which host downloads which chunk from the origin.

use rstest::rstest;

use crate::weights::Peer;
use crate::weights::peers::chunk_ranks;

fn hosts(count: usize) -> Vec<Peer> {
    let host = |n| Peer {
        host: format!("host-{n}").into(),
        zone: "z".into(),
        region: "r".into(),
        addr: ([127, 0, 0, 1], 1 + n as u16).into(),
    };
    (0..count).map(host).collect()
}

/// Ranks of each host for each chunk.
fn ranks(hosts: &[Peer], version: &str, chunks: u32) -> Vec<Vec<u8>> {
    let all: Vec<&Peer> = hosts.iter().collect();
    let ranks = hosts
        .iter()
        .map(|own| chunk_ranks(&own.host, &all, &version.into(), chunks));
    ranks.collect()
}

// Guards against hosts that own several times as many chunks as others: they were still downloading, one
// after another, when the origin's link was idle, and the whole fleet waited for their last ones.
#[rstest]
#[case::fewer_hosts_than_chunks(24, 64)]
#[case::evenly(24, 96)]
#[case::more_hosts_than_chunks(100, 64)]
#[case::one_host(1, 64)]
fn each_chunk_has_one_owner_and_no_host_owns_more_than_its_share(
    #[case] count: usize,
    #[case] chunks: u32,
) {
    let hosts = hosts(count);
    for version in ["v1", "v2", "v3"] {
        let ranks = ranks(&hosts, version, chunks);
        for index in 0..chunks as usize {
            let mut of_chunk: Vec<usize> = ranks.iter().map(|r| usize::from(r[index])).collect();
            of_chunk.sort_unstable();
            assert_eq!(of_chunk, (0..count).collect::<Vec<_>>(), "chunk {index}");
        }
        let owned = ranks
            .iter()
            .map(|r| r.iter().filter(|rank| **rank == 0).count());
        let most = owned.max();
        assert_eq!(most, Some((chunks as usize).div_ceil(count)), "{version}");
    }
}

// Guards against a change of all owners, and so of what is under way, when one host comes or goes.
#[test]
fn few_chunks_change_their_owner_with_a_host() {
    let before = hosts(25);
    let (all, some) = (ranks(&before, "v1", 64), ranks(&before[..24], "v1", 64));
    let owner = |ranks: &[Vec<u8>], index: usize| ranks.iter().position(|r| r[index] == 0);
    let changed = (0..64).filter(|index| owner(&all, *index) != owner(&some, *index));
    // The host itself owns three of them.
    assert!(changed.count() <= 64 / 4);
}
