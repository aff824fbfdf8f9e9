//! Prompt parts that crash endpoints, told apart from the parts that they appear with.
//!
//! A crash counts against each part of the requests that ran at the endpoint: the harmful part,
//! those that share its request, and those of sound requests that ran beside it. What tells them
//! apart is that requests with a sound part are answered elsewhere, which clears it, and that the
//! crashes of the harmful part explain those of the others. Parts that can't be told apart yet are
//! blamed together: requests with all of them are refused, and one with only some of them still
//! runs and shows which it is.
//!
//! Crashes are exchanged like those of [`super::Quarantine`]: sets of crashed instances are joined,
//! and cleared ones stay cleared, so the order and number of exchanges does not matter.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::types::{InstanceId, PromptPart};

/// Unexplained crashes after which a part is blamed that was not answered recently.
const CRASHES_MAX: usize = 3;

/// The same for a part that was answered recently; most of its crashes are those of other parts.
const CRASHES_MAX_ANSWERED: usize = 5;

/// Crashes of an answered part that are no further apart count as one: a harmful request crashes one
/// endpoint, while whatever ends many at once hits the parts that most requests share.
const MOMENT: Duration = Duration::from_secs(1);

/// Time for which a part counts as recently answered.
const ANSWERED_RECENTLY: Duration = Duration::from_secs(5);

/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_secs(60 * 60);

/// Maximum number of parts with crashes; those that are not blamed, then those with the fewest
/// crashes, then those whose record changed longest ago are removed first.
const PARTS_MAX: usize = 512;

/// Maximum number of crashes per part; cleared ones, then the oldest are removed first.
const INSTANCES_MAX: usize = 64;

/// Maximum number of parts whose last answer is remembered; the oldest are removed first.
const ANSWERED_MAX: usize = 4_096;

/// Maximum number of crashes that are shared, so that they fit into a datagram with other content.
pub const SHARED_MAX: usize = 64;

/// Time for which a crash or its clearing is shared; many times what it takes to reach all processes.
/// Those of blamed parts are shared as long as they are known, for processes that start later.
const NEWS_TIME: Duration = Duration::from_secs(60);

/// Maximum number of cleared crashes among the shared ones.
const SHARED_CLEARED_MAX: usize = 24;

/// Maximum number of uncleared crashes of one part among the shared ones.
const SHARED_PER_PART_MAX: usize = 16;

/// Uncleared crashes from which those of an answered part are shared. A single one is nearly always
/// explained by another part.
const SHARED_FROM_ANSWERED: usize = 2;

/// Crash of an endpoint instance while a request with the part ran there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartCrash {
    /// The part.
    pub part: PromptPart,
    /// Endpoint instance that crashed.
    pub instance: InstanceId,
    /// True when a request with the part was answered in full afterwards.
    pub is_cleared: bool,
    /// Age of the crash in milliseconds.
    pub age_ms: u32,
    /// Time since a request with the part was last answered in full, in milliseconds; `None` when
    /// none is known.
    pub answered_ms: Option<u32>,
}

/// Parts of which one is believed to crash endpoints; most often a single one.
pub type BlamedParts = BTreeSet<PromptPart>;

/// Parts that are blamed from now on, or no more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlameChange {
    /// The parts, which are blamed together.
    pub parts: BlamedParts,
    /// True when they are blamed from now on.
    pub is_blamed: bool,
    /// Number of crashes that count against each of them.
    pub crashes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Instant,
    is_cleared: bool,
    /// Time of the crash or of its clearing.
    changed: Instant,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Invariant: at most [`INSTANCES_MAX`].
    crashes: BTreeMap<InstanceId, Crash>,
}

impl Record {
    fn uncleared(&self) -> impl Iterator<Item = (InstanceId, Instant)> {
        let crashes = self.crashes.iter();
        crashes
            .filter(|(_, crash)| !crash.is_cleared)
            .map(|(instance, crash)| (*instance, crash.at))
    }

    fn changed(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.changed).max()
    }

    /// Clears all crashes; returns true when any was not cleared yet.
    fn clear(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for crash in self.crashes.values_mut().filter(|crash| !crash.is_cleared) {
            crash.is_cleared = true;
            crash.changed = now;
            changed = true;
        }
        changed
    }

    fn trim(&mut self) {
        while self.crashes.len() > INSTANCES_MAX {
            let crashes = self.crashes.iter();
            let first = crashes.min_by_key(|(_, crash)| (!crash.is_cleared, crash.at));
            let Some(instance) = first.map(|(instance, _)| *instance) else {
                return;
            };
            self.crashes.remove(&instance);
        }
    }
}

/// How recently a request with a part was answered in full. Parts of earlier variants are blamed
/// first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Answered {
    Never,
    LongAgo,
    Recently,
}

impl Answered {
    /// True when a part with these unexplained crashes is blamed for them.
    fn is_suspect(self, crashes: &BTreeMap<InstanceId, Instant>) -> bool {
        match self {
            Self::Never => crashes.len() >= CRASHES_MAX,
            Self::LongAgo => moments(crashes) >= CRASHES_MAX,
            Self::Recently => moments(crashes) >= CRASHES_MAX_ANSWERED,
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

/// Crashes by prompt part, and the parts that are blamed for them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Invariant: at most [`PARTS_MAX`].
    records: BTreeMap<PromptPart, Record>,
    /// Time of the last complete answer of each part.
    ///
    /// Invariant: at most [`ANSWERED_MAX`].
    answered: BTreeMap<PromptPart, Instant>,
    /// Blamed parts with the number of crashes that they explain.
    blamed: BTreeMap<BlamedParts, usize>,
}

impl Suspects {
    /// Blamed parts of a request with these parts; `None` when the request may run.
    pub fn blamed_among(&self, parts: &[PromptPart]) -> Option<&BlamedParts> {
        let mut blamed = self.blamed.keys();
        blamed.find(|blamed| blamed.iter().all(|part| parts.contains(part)))
    }

    /// Blamed parts.
    pub fn blamed(&self) -> impl Iterator<Item = &BlamedParts> {
        self.blamed.keys()
    }

    /// Records that requests with these parts ran at an instance when it crashed.
    pub fn record_crash(
        &mut self,
        now: Instant,
        parts: impl IntoIterator<Item = PromptPart>,
        instance: InstanceId,
    ) -> Vec<BlameChange> {
        let mut changed = false;
        for part in parts {
            changed |= self.insert(now, part, instance, now, false);
        }
        self.recompute_if(changed, now)
    }

    /// Records that a request with these parts was answered in full, which clears their crashes.
    pub fn record_answer(
        &mut self,
        now: Instant,
        parts: impl IntoIterator<Item = PromptPart>,
    ) -> Vec<BlameChange> {
        let mut changed = false;
        for part in parts {
            self.set_answered(now, part);
            let record = self.records.get_mut(&part);
            changed |= record.is_some_and(|record| record.clear(now));
        }
        self.recompute_if(changed, now)
    }

    /// Clears the crash of an instance that turned out to be alive.
    pub fn clear_instance(&mut self, now: Instant, instance: InstanceId) -> Vec<BlameChange> {
        let mut changed = false;
        for record in self.records.values_mut() {
            if let Some(crash) = record.crashes.get_mut(&instance)
                && !crash.is_cleared
            {
                crash.is_cleared = true;
                crash.changed = now;
                changed = true;
            }
        }
        self.recompute_if(changed, now)
    }

    /// Merges crashes that other processes know.
    pub fn merge(&mut self, now: Instant, crashes: &[PartCrash]) -> Vec<BlameChange> {
        let mut changed = false;
        for crash in crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            let Some(at) = now.checked_sub(age).filter(|_| age < CRASH_TTL) else {
                continue;
            };
            if let Some(answered_ms) = crash.answered_ms {
                let answered = now.checked_sub(Duration::from_millis(answered_ms.into()));
                changed |= answered.is_some_and(|at| self.merge_answered(at, crash.part));
            }
            changed |= self.insert(now, crash.part, crash.instance, at, crash.is_cleared);
        }
        self.recompute_if(changed, now)
    }

    /// Crashes that other processes should know, at most `SHARED_MAX`: the newest cleared ones, and
    /// those of the parts with most crashes.
    pub fn shared(&self, now: Instant) -> Vec<PartCrash> {
        let is_news = |crash: &Crash| now.saturating_duration_since(crash.changed) < NEWS_TIME;
        let mut cleared = Vec::new();
        let mut uncleared = Vec::new();
        for (part, record) in &self.records {
            let crashes = record.crashes.iter();
            let news = crashes.filter(|(_, crash)| crash.is_cleared && is_news(crash));
            cleared.extend(news.map(|(instance, crash)| (*part, *instance, *crash)));

            let crashes: Vec<_> = record.uncleared().collect();
            let is_blamed = self.is_blamed(*part);
            let is_suspect = crashes.len() >= SHARED_FROM_ANSWERED
                || (crashes.len() == 1 && !self.answered.contains_key(part));
            if is_blamed || (is_suspect && record.crashes.values().any(is_news)) {
                uncleared.push((*part, crashes));
            }
        }
        cleared.sort_by_key(|(part, instance, crash)| (Reverse(crash.changed), *part, *instance));
        cleared.truncate(SHARED_CLEARED_MAX);
        let cleared = cleared
            .into_iter()
            .map(|(part, instance, crash)| (part, instance, crash.at, true));
        uncleared.sort_by_key(|(part, crashes)| (Reverse(crashes.len()), *part));
        let uncleared = uncleared.into_iter().flat_map(|(part, mut crashes)| {
            crashes.sort_by_key(|(instance, at)| (Reverse(*at), *instance));
            crashes.truncate(SHARED_PER_PART_MAX);
            let crashes = crashes.into_iter();
            crashes.map(move |(instance, at)| (part, instance, at, false))
        });
        let millis = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        cleared
            .chain(uncleared)
            .take(SHARED_MAX)
            .map(|(part, instance, at, is_cleared)| PartCrash {
                part,
                instance,
                is_cleared,
                age_ms: millis(at),
                answered_ms: self.answered.get(&part).map(|at| millis(*at)),
            })
            .collect()
    }

    /// Removes crashes that are too old.
    pub fn expire(&mut self, now: Instant) -> Vec<BlameChange> {
        let mut changed = false;
        self.records.retain(|_, record| {
            let before = record.crashes.len();
            record
                .crashes
                .retain(|_, crash| now.saturating_duration_since(crash.at) < CRASH_TTL);
            changed |= record.crashes.len() < before;
            !record.crashes.is_empty()
        });
        self.answered
            .retain(|_, at| now.saturating_duration_since(*at) < CRASH_TTL);
        self.recompute_if(changed, now)
    }

    /// Number of parts with crashes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no part has crashes.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a crash or its clearing; returns true when it was not known.
    fn insert(
        &mut self,
        now: Instant,
        part: PromptPart,
        instance: InstanceId,
        at: Instant,
        is_cleared: bool,
    ) -> bool {
        if !self.records.contains_key(&part) && self.records.len() >= PARTS_MAX {
            self.drop_least();
        }
        let record = self.records.entry(part).or_default();
        let changed = match record.crashes.get_mut(&instance) {
            Some(known) if is_cleared && !known.is_cleared => {
                known.is_cleared = true;
                known.changed = now;
                true
            }
            Some(_) => false,
            None => {
                let crash = Crash {
                    at,
                    is_cleared,
                    changed: now,
                };
                record.crashes.insert(instance, crash);
                true
            }
        };
        record.trim();
        changed
    }

    fn is_blamed(&self, part: PromptPart) -> bool {
        self.blamed.keys().any(|parts| parts.contains(&part))
    }

    fn drop_least(&mut self) {
        let rank = |(part, record): &(&PromptPart, &Record)| {
            (
                self.is_blamed(**part),
                record.uncleared().count(),
                record.changed(),
            )
        };
        let least = self.records.iter().min_by_key(rank).map(|(part, _)| *part);
        if let Some(part) = least {
            self.records.remove(&part);
        }
    }

    /// Applies the time of an answer that another process saw; returns true when it is news. It
    /// arrives a little younger than it was sent, which must not go on between processes.
    fn merge_answered(&mut self, at: Instant, part: PromptPart) -> bool {
        let known = self.answered.get(&part);
        let is_news = known.is_none_or(|known| at.saturating_duration_since(*known) > MOMENT);
        if is_news {
            self.set_answered(at, part);
        }
        is_news
    }

    fn set_answered(&mut self, now: Instant, part: PromptPart) {
        self.answered.insert(part, now);
        if self.answered.len() > ANSWERED_MAX {
            let oldest = self.answered.iter().min_by_key(|(_, at)| **at);
            if let Some(part) = oldest.map(|(part, _)| *part) {
                self.answered.remove(&part);
            }
        }
    }

    fn answered(&self, now: Instant, part: PromptPart) -> Answered {
        match self.answered.get(&part) {
            None => Answered::Never,
            Some(at) if now.saturating_duration_since(*at) >= ANSWERED_RECENTLY => {
                Answered::LongAgo
            }
            Some(_) => Answered::Recently,
        }
    }

    fn recompute_if(&mut self, changed: bool, now: Instant) -> Vec<BlameChange> {
        match changed {
            true => self.recompute(now),
            false => Vec::new(),
        }
    }

    /// Attributes each crash to a part: again and again, the part that most likely caused those that
    /// are left is blamed for them, together with those that can't be told apart from it.
    fn recompute(&mut self, now: Instant) -> Vec<BlameChange> {
        let mut unexplained: BTreeMap<PromptPart, BTreeMap<InstanceId, Instant>> = self
            .records
            .iter()
            .filter(|(_, record)| record.uncleared().count() >= CRASHES_MAX)
            .map(|(part, record)| (*part, record.uncleared().collect()))
            .collect();
        let mut blamed = BTreeMap::new();
        loop {
            let candidates = unexplained.iter().filter_map(|(part, crashes)| {
                let answered = self.answered(now, *part);
                let is_suspect = answered.is_suspect(crashes);
                let last_answer = self.answered.get(part).copied();
                is_suspect.then_some((answered, Reverse(crashes.len()), last_answer, *part))
            });
            let Some((answered, _, _, part)) = candidates.min() else {
                break;
            };
            let explained = unexplained.remove(&part).unwrap_or_default();
            let alike = unexplained.iter().filter(|(other, crashes)| {
                crashes.keys().eq(explained.keys()) && self.answered(now, **other) == answered
            });
            let parts = alike.map(|(other, _)| *other).chain([part]).collect();
            for crashes in unexplained.values_mut() {
                crashes.retain(|instance, _| !explained.contains_key(instance));
            }
            blamed.insert(parts, explained.len());
        }
        let before = std::mem::replace(&mut self.blamed, blamed);
        let changes = |from: &BTreeMap<BlamedParts, usize>, to: &BTreeMap<BlamedParts, usize>| {
            let new = to.iter().filter(|(parts, _)| !from.contains_key(*parts));
            new.map(|(parts, crashes)| (parts.clone(), *crashes))
                .collect::<Vec<_>>()
        };
        let change = |is_blamed: bool| {
            move |(parts, crashes)| BlameChange {
                parts,
                is_blamed,
                crashes,
            }
        };
        let new = changes(&before, &self.blamed).into_iter().map(change(true));
        let released = changes(&self.blamed, &before)
            .into_iter()
            .map(change(false));
        released.chain(new).collect()
    }
}
