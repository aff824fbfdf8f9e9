//! Attribution of crashes to suspects.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::types::InstanceId;

use super::answers::{Answered, Answers};
use super::{Blamed, Suspect};

/// Unexplained crashes after which a prompt part is blamed that was never answered. Many sound
/// requests share a part, so it is found in crashes that it did not cause.
const PART_CRASHES_MAX: usize = 3;

/// The same for a whole request.
pub(super) const REQUEST_CRASHES_MAX: usize = 2;

/// Crashes after which requests that can't be told apart are all blamed. Before, each of them may run
/// and show which it is.
const TIED_CRASHES_MAX: usize = 4;

/// Moments of crashes after which a suspect is blamed that was answered before.
const MOMENTS_MAX: usize = 3;

/// The same for a suspect that was answered recently; most of its crashes are those of others.
const MOMENTS_MAX_RECENTLY: usize = 5;

/// Crashes of an answered suspect that are no further apart count as one: a harmful request crashes
/// one endpoint, while whatever ends many at once hits what most requests share.
pub(super) const MOMENT: Duration = Duration::from_secs(1);

/// Uncleared crashes of each suspect, with their times.
pub(super) type Crashes = BTreeMap<Suspect, BTreeMap<InstanceId, Instant>>;

impl Suspect {
    /// True when it is blamed for these unexplained crashes.
    fn is_blamed_for(self, crashes: &BTreeMap<InstanceId, Instant>, answered: Answered) -> bool {
        match (answered, self) {
            (Answered::Never, Self::Part(_)) => crashes.len() >= PART_CRASHES_MAX,
            (Answered::Never, Self::Request(_)) => crashes.len() >= REQUEST_CRASHES_MAX,
            (Answered::LongAgo, _) => moments(crashes) >= MOMENTS_MAX,
            (Answered::Recently, _) => moments(crashes) >= MOMENTS_MAX_RECENTLY,
        }
    }
}

/// Number of crashes that are more than [`MOMENT`] apart.
fn moments(crashes: &BTreeMap<InstanceId, Instant>) -> usize {
    let mut times: Vec<Instant> = crashes.values().copied().collect();
    times.sort_unstable();
    let mut starts = times.first().copied().into_iter().collect::<Vec<_>>();
    for at in times {
        let last = starts.last();
        if last.is_some_and(|last| at.saturating_duration_since(*last) > MOMENT) {
            starts.push(at);
        }
    }
    starts.len()
}

/// Attributes each crash to a suspect: again and again, the one that most likely caused those that
/// are left is blamed for them, together with those that can't be told apart from it. Returns what
/// is blamed, with the number of crashes that it explains.
pub(super) fn attribute(
    now: Instant,
    mut unexplained: Crashes,
    answers: &Answers,
) -> BTreeMap<Blamed, usize> {
    let mut blamed = BTreeMap::new();
    loop {
        let candidates = unexplained.iter().filter_map(|(suspect, crashes)| {
            let answered = answers.standing(now, *suspect);
            let is_blamed = suspect.is_blamed_for(crashes, answered);
            let last_answer = answers.last(*suspect);
            is_blamed.then_some((answered, Reverse(crashes.len()), last_answer, *suspect))
        });
        let Some((answered, _, _, suspect)) = candidates.min() else {
            return blamed;
        };
        let explained = unexplained.remove(&suspect).unwrap_or_default();
        let alike = unexplained.iter().filter(|(other, crashes)| {
            crashes.keys().eq(explained.keys()) && answers.standing(now, **other) == answered
        });
        let alike: Blamed = alike.map(|(other, _)| *other).chain([suspect]).collect();
        for crashes in unexplained.values_mut() {
            crashes.retain(|instance, _| !explained.contains_key(instance));
        }
        for group in groups(alike, explained.len()) {
            blamed.insert(group, explained.len());
        }
    }
}

/// Splits suspects that can't be told apart into those that one request can hold together.
fn groups(alike: Blamed, crashes: usize) -> Vec<Blamed> {
    let (requests, parts): (Blamed, Blamed) = alike
        .iter()
        .partition(|suspect| matches!(suspect, Suspect::Request(_)));
    if requests.len() <= 1 {
        return vec![alike];
    }
    let mut groups = Vec::new();
    if !parts.is_empty() && crashes >= PART_CRASHES_MAX {
        groups.push(parts);
    }
    if crashes >= TIED_CRASHES_MAX {
        groups.extend(
            requests
                .into_iter()
                .map(|request| BTreeSet::from([request])),
        );
    }
    groups
}
