//! Baseline distribution plans over the same links: every host downloads from the origin, or the
//! hosts form a binary tree of which only the root does.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::JoinSet;

use super::model::WeightVersion;
use super::net::{Net, next_slice};

/// Number of children of a host in the tree.
const FAN_OUT: usize = 2;
/// Number of chunks that a host fetches at the same time.
const PARALLEL_FETCHES: u32 = 4;

/// For each chunk, whether a host holds it; watched by the host's children.
type HeldChunks = watch::Sender<Vec<bool>>;

/// Runs the tree plan if `tree` is true, otherwise the downloads from the origin; returns the time
/// until every host has every chunk.
pub async fn run(net: &Arc<Net>, version: &WeightVersion, tree: bool) -> Duration {
    let start = Instant::now();
    let held: Vec<Arc<HeldChunks>> = net
        .hosts
        .iter()
        .map(|_| Arc::new(watch::channel(vec![false; version.chunks() as usize]).0))
        .collect();
    let mut tasks = JoinSet::new();
    for host in 0..net.hosts.len() {
        let parent = (tree && host > 0).then(|| (host - 1) / FAN_OUT);
        for first in 0..PARALLEL_FETCHES {
            let source = parent.map(|parent| held[parent].subscribe());
            let own = held[host].clone();
            let (net, version) = (net.clone(), version.clone());
            tasks.spawn(async move {
                let route = net.route(parent, host);
                let mut source = source;
                for index in (first..version.chunks()).step_by(PARALLEL_FETCHES as usize) {
                    if let Some(source) = &mut source {
                        let arrived = source.wait_for(|held| held[index as usize]).await;
                        // The returned guard locks the channel's value, so it must not be held
                        // during the transfer.
                        drop(arrived.expect("the senders live until every task has ended"));
                    }
                    let mut rest = version.chunk(index);
                    while next_slice(&route, &mut rest).await.is_some() {}
                    own.send_modify(|held| held[index as usize] = true);
                }
            });
        }
    }
    while tasks.join_next().await.is_some() {}
    start.elapsed()
}
