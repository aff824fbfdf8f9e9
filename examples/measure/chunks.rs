//! Measures the time to verify a chunk, and the time to select the next chunk and the peer to fetch
//! it from, by the number of hosts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use limpetloom::weights::{
    ChunkHash, ChunkSet, Have, Manifest, Peer, Source, WantedVersion, WeightsAction, WeightsConfig,
    WeightsCore, WeightsEvent,
};

use crate::Args;
use crate::report::{Report, Target};

/// Size of a chunk of a large version, in bytes.
const CHUNK_BYTES: usize = 4 << 20;
/// Number of chunks of a large version.
const CHUNKS_PER_VERSION: u32 = 4096;
/// How many times a chunk is verified.
const VERIFIED_CHUNKS: u32 = 64;
/// Numbers of hosts for which the selection is measured.
const FLEET_SIZES: [usize; 4] = [16, 64, 190, 380];
/// Name of the version; also stands for its digest.
const VERSION: &str = "v";

/// Runs the measurement.
pub async fn run(_args: &Args) -> Report {
    let mut report = Report::new("chunks");
    measure_verification(&mut report);
    let selection_us = FLEET_SIZES.map(|hosts| measure_selection(hosts, &mut report));
    let growth = selection_us[FLEET_SIZES.len() - 1] / selection_us[1];
    report.record("decision_growth_64_to_380", growth, "ratio", Target::None);
    report
}

fn measure_verification(report: &mut Report) {
    let chunk = vec![7; CHUNK_BYTES];
    let manifest = Manifest {
        size: CHUNK_BYTES as u64,
        chunk_size: CHUNK_BYTES as u64,
        hash: ChunkHash::Blake3,
        chunks: vec![*blake3::hash(&chunk).as_bytes()],
    };
    let start = Instant::now();
    let valid = (0..VERIFIED_CHUNKS)
        .filter(|_| manifest.is_chunk(0, &chunk))
        .count();
    let each = start.elapsed() / VERIFIED_CHUNKS;
    assert_eq!(valid, VERIFIED_CHUNKS as usize);
    let rate = CHUNK_BYTES as f64 / each.as_secs_f64() / 1e9;
    report.record("verify_4_mib", each.as_secs_f64() * 1e6, "us", Target::None);
    report.record("verify_rate", rate, "GB/s", Target::None);
}

/// Simulates one host's download of a whole version that all of its peers hold; returns the mean
/// time spent in the core per chunk, in microseconds.
fn measure_selection(hosts: usize, report: &mut Report) -> f64 {
    let start = Instant::now();
    let mut core = WeightsCore::new(WeightsConfig::new(peer(0), Vec::new()), 1);
    let mut queue: VecDeque<WeightsAction> = VecDeque::new();
    let peers = (0..hosts).map(peer).collect();
    queue.extend(core.handle(start, WeightsEvent::PeersListed(peers)));
    queue.extend(core.handle(start, WeightsEvent::VersionWanted(wanted())));
    let mut selection_time = Duration::ZERO;
    let mut chunks = 0;
    while let Some(action) = queue.pop_front() {
        let Some(event) = respond(action) else {
            continue;
        };
        let is_chunk = matches!(event, WeightsEvent::ChunkFetchDone { .. });
        let now = Instant::now();
        queue.extend(core.handle(now, event));
        if is_chunk {
            selection_time += now.elapsed();
            chunks += 1;
        }
    }
    assert_eq!(chunks, CHUNKS_PER_VERSION, "every chunk is fetched once");
    let each = selection_time.as_secs_f64() * 1e6 / f64::from(chunks);
    report.record(
        format!("decide_{hosts}_hosts"),
        each,
        "us/chunk",
        Target::None,
    );
    let state = core.memory() as f64;
    report.record(format!("state_{hosts}_hosts"), state, "bytes", Target::None);
    each
}

/// Event with which peers that hold every chunk respond to an action; `None` if the action needs no
/// response.
fn respond(action: WeightsAction) -> Option<WeightsEvent> {
    let fetch_time = Duration::from_millis(40);
    Some(match action {
        WeightsAction::Announce { host, version, .. } => WeightsEvent::AnnouncementDone {
            host,
            version,
            have: Some(Have::Chunks((0..CHUNKS_PER_VERSION).collect::<ChunkSet>())),
        },
        WeightsAction::FetchManifest { wanted, source, .. } => WeightsEvent::ManifestFetchDone {
            version: wanted.version,
            source,
            result: Ok(Arc::new(Manifest {
                size: u64::from(CHUNKS_PER_VERSION) * CHUNK_BYTES as u64,
                chunk_size: CHUNK_BYTES as u64,
                hash: ChunkHash::Blake3,
                chunks: vec![[0; 32]; CHUNKS_PER_VERSION as usize],
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
            result: Ok(fetch_time),
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
