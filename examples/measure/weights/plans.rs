//! Baseline plans over the same links: every host from the origin, and a binary tree.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::JoinSet;

use super::model::Copy;
use super::net::{Net, next_slice};

/// Children of a host in the tree.
const FAN_OUT: usize = 2;
/// Chunks that a host fetches at once.
const PARALLEL: u32 = 4;

type Held = watch::Sender<Vec<bool>>;

/// Runs a plan; returns the time until every host has every chunk.
pub async fn run(net: &Arc<Net>, copy: &Copy, tree: bool) -> Duration {
    let start = Instant::now();
    let held: Vec<Arc<Held>> = net
        .hosts
        .iter()
        .map(|_| Arc::new(watch::channel(vec![false; copy.chunks() as usize]).0))
        .collect();
    let mut tasks = JoinSet::new();
    for host in 0..net.hosts.len() {
        let parent = (tree && host > 0).then(|| (host - 1) / FAN_OUT);
        for first in 0..PARALLEL {
            let source = parent.map(|parent| held[parent].subscribe());
            let own = held[host].clone();
            let (net, copy) = (net.clone(), copy.clone());
            tasks.spawn(async move {
                let route = net.route(parent, host);
                let mut source = source;
                for index in (first..copy.chunks()).step_by(PARALLEL as usize) {
                    if let Some(source) = &mut source {
                        let arrived = source.wait_for(|held| held[index as usize]).await;
                        drop(arrived.expect("a host outlives its children"));
                    }
                    let mut rest = copy.chunk(index);
                    while next_slice(&route, &mut rest).await.is_some() {}
                    own.send_modify(|held| held[index as usize] = true);
                }
            });
        }
    }
    while tasks.join_next().await.is_some() {}
    start.elapsed()
}
