//! Cost of verifying a chunk and of choosing the next chunk and peer, and its growth with N.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::weights::{
    ChunkHash, ChunkSet, Have, Manifest, Peer, Source, WantedVersion, WeightsAction, WeightsConfig,
    WeightsCore, WeightsEvent,
};

use crate::Args;
use crate::report::{Report, Target};

/// Bytes of a chunk of a large version.
const CHUNK_BYTES: usize = 4 << 20;
/// Chunks of a large version.
const CHUNKS: u32 = 4096;
/// Chunks that are verified.
const VERIFIED: u32 = 64;
/// Fleet sizes.
const HOSTS: [usize; 4] = [16, 64, 190, 380];
/// Name of the version.
const VERSION: &str = "v";

/// Measures both costs.
pub async fn run(_args: &Args) -> Report {
    let mut report = Report::new("chunks");
    verification(&mut report);
    let costs = HOSTS.map(|hosts| decision(hosts, &mut report));
    let growth = costs[HOSTS.len() - 1] / costs[1];
    report.figure("decision_growth_64_to_380", growth, "ratio", Target::None);
    report
}

fn verification(report: &mut Report) {
    let chunk = vec![7; CHUNK_BYTES];
    let manifest = Manifest {
        size: CHUNK_BYTES as u64,
        chunk_size: CHUNK_BYTES as u64,
        hash: ChunkHash::Blake3,
        chunks: vec![*blake3::hash(&chunk).as_bytes()],
    };
    let start = Instant::now();
    let good = (0..VERIFIED)
        .filter(|_| manifest.is_chunk(0, &chunk))
        .count();
    let each = start.elapsed() / VERIFIED;
    assert_eq!(good, VERIFIED as usize);
    let rate = CHUNK_BYTES as f64 / each.as_secs_f64() / 1e9;
    report.figure("verify_4_mib", each.as_secs_f64() * 1e6, "us", Target::None);
    report.figure("verify_rate", rate, "GB/s", Target::None);
}

/// Takes one host through a whole version whose peers hold it; returns the time of one chunk.
fn decision(hosts: usize, report: &mut Report) -> f64 {
    let start = Instant::now();
    let mut core = WeightsCore::new(WeightsConfig::new(peer(0), Vec::new()), 1);
    let mut queue: VecDeque<WeightsAction> = VecDeque::new();
    let peers = (0..hosts).map(peer).collect();
    queue.extend(core.handle(start, WeightsEvent::PeersListed(peers)));
    queue.extend(core.handle(start, WeightsEvent::VersionWanted(wanted())));
    let mut spent = Duration::ZERO;
    let mut chunks = 0;
    while let Some(action) = queue.pop_front() {
        let Some(event) = answer(action) else {
            continue;
        };
        let is_chunk = matches!(event, WeightsEvent::ChunkFetchDone { .. });
        let now = Instant::now();
        queue.extend(core.handle(now, event));
        if is_chunk {
            spent += now.elapsed();
            chunks += 1;
        }
    }
    assert_eq!(chunks, CHUNKS, "the whole version is taken");
    let each = spent.as_secs_f64() * 1e6 / f64::from(chunks);
    report.figure(
        format!("decide_{hosts}_hosts"),
        each,
        "us/chunk",
        Target::None,
    );
    let state = core.memory() as f64;
    report.figure(format!("state_{hosts}_hosts"), state, "bytes", Target::None);
    each
}

/// What peers that hold everything answer.
fn answer(action: WeightsAction) -> Option<WeightsEvent> {
    let took = Duration::from_millis(40);
    Some(match action {
        WeightsAction::Announce { host, version, .. } => WeightsEvent::AnnouncementDone {
            host,
            version,
            have: Some(Have::Chunks((0..CHUNKS).collect::<ChunkSet>())),
        },
        WeightsAction::FetchManifest { wanted, source, .. } => WeightsEvent::ManifestFetchDone {
            version: wanted.version,
            source,
            result: Ok(Arc::new(Manifest {
                size: u64::from(CHUNKS) * CHUNK_BYTES as u64,
                chunk_size: CHUNK_BYTES as u64,
                hash: ChunkHash::Blake3,
                chunks: vec![[0; 32]; CHUNKS as usize],
            })),
        },
        WeightsAction::FetchChunk {
            wanted,
            index,
            source: source @ Source::Peer(_),
            ..
        } => WeightsEvent::ChunkFetchDone {
            version: wanted.version,
            index,
            source,
            have: None,
            result: Ok(took),
        },
        _ => return None,
    })
}

fn wanted() -> WantedVersion {
    WantedVersion {
        model: "m".into(),
        name: VERSION.into(),
        version: VERSION.into(),
        hosts: None,
    }
}

fn peer(number: usize) -> Peer {
    Peer {
        host: format!("host-{number}").into(),
        zone: format!("zone-{}", number % 3).into(),
        region: "region".into(),
        addr: ([127, 0, 0, 1], 1000 + number as u16).into(),
    }
}
