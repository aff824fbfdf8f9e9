//! Requests and prompt parts that crash endpoints, told apart from what they appear with.
//!
//! A crash counts against each request that ran at the endpoint, and against each prompt part of
//! these: the harmful one, those that share its request, and those of sound requests that ran beside
//! it. What tells them apart is that sound requests are answered elsewhere, which clears them and
//! their parts, and that the crashes of the harmful one explain those of the others. Suspects that
//! can't be told apart yet are blamed together: requests with all of them are refused, and one with
//! only some of them still runs and shows which it is.
//!
//! Crashes are exchanged like those of [`super::Quarantine`]: sets of crashed instances are joined,
//! and cleared ones stay cleared, so the order and number of exchanges does not matter.

mod answers;
mod blame;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::types::{InstanceId, PromptPart};

use answers::Answers;
use blame::{MOMENT, REQUEST_CRASHES_MAX, attribute};

/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_secs(60 * 60);

/// Maximum number of suspects with crashes: the requests that run at a tenth of the endpoints at the
/// size of `docs/CAPACITY.md`. Those that are not blamed, then those with the fewest crashes, then
/// those whose last crash is oldest are removed first.
pub const SUSPECTS_MAX: usize = 1_024;

/// Number of suspects removed when there are more than [`SUSPECTS_MAX`], so that finding the least
/// ones is rare.
const REMOVED_AT_ONCE: usize = SUSPECTS_MAX / 8;

/// Maximum number of crashes per suspect; cleared ones, then the oldest are removed first.
const INSTANCES_MAX: usize = 64;

/// Maximum number of crashes that are shared, so that they fit into a datagram with other content.
pub const SHARED_MAX: usize = 96;

/// Time for which a crash or its clearing is shared; many times what it takes to reach all processes.
/// Those of blamed suspects are shared as long as they are known, for processes that start later.
const NEWS_TIME: Duration = Duration::from_secs(60);

/// Time after which a request whose crashes are all cleared is forgotten; no process shares them
/// any more.
const CLEARED_REQUEST_TTL: Duration = Duration::from_secs(2 * 60);

/// Maximum number of cleared crashes among the shared ones.
const SHARED_CLEARED_MAX: usize = 32;

/// Maximum number of uncleared crashes of one suspect among the shared ones.
const SHARED_PER_SUSPECT_MAX: usize = 16;

/// Uncleared crashes from which those of an answered suspect are shared. A single one is nearly
/// always explained by another one.
const SHARED_FROM_ANSWERED: usize = 2;

/// What may have caused a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Suspect {
    /// A prompt part, whatever else the request holds.
    Part(PromptPart),
    /// A request as a whole, by its digest; its copies have the same one.
    Request(u64),
}

impl Suspect {
    /// Prompt part, if it is one.
    pub fn part(self) -> Option<PromptPart> {
        match self {
            Self::Part(part) => Some(part),
            Self::Request(_) => None,
        }
    }
}

/// Crash of an endpoint instance while a request with the suspect ran there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectCrash {
    /// The suspect.
    pub suspect: Suspect,
    /// Endpoint instance that crashed.
    pub instance: InstanceId,
    /// True when a request with the suspect was answered in full afterwards.
    pub is_cleared: bool,
    /// Age of the crash in milliseconds.
    pub age_ms: u32,
    /// Time since a request with the suspect was last answered in full, in milliseconds; `None`
    /// when none is known.
    pub answered_ms: Option<u32>,
}

/// Suspects of which one is believed to crash endpoints; most often a single one.
pub type Blamed = BTreeSet<Suspect>;

/// Suspects that are blamed from now on, or no more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlameChange {
    /// The suspects, which are blamed together.
    pub suspects: Blamed,
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

/// Crashes by suspect, and the suspects that are blamed for them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Invariant: at most [`SUSPECTS_MAX`].
    records: BTreeMap<Suspect, Record>,
    answers: Answers,
    /// Blamed suspects with the number of crashes that they explain.
    blamed: BTreeMap<Blamed, usize>,
}

impl Suspects {
    /// Blamed ones among the suspects of a request; `None` when the request may run.
    pub fn blamed_among(&self, suspects: &[Suspect]) -> Option<&Blamed> {
        let mut blamed = self.blamed.keys();
        blamed.find(|blamed| blamed.iter().all(|suspect| suspects.contains(suspect)))
    }

    /// Blamed suspects.
    pub fn blamed(&self) -> impl Iterator<Item = &Blamed> {
        self.blamed.keys()
    }

    /// Records that requests with these suspects ran at an instance when it crashed.
    pub fn record_crash(
        &mut self,
        now: Instant,
        suspects: impl IntoIterator<Item = Suspect>,
        instance: InstanceId,
    ) -> Vec<BlameChange> {
        let mut changed = false;
        for suspect in suspects {
            changed |= self.insert(now, suspect, instance, now, false);
        }
        self.recompute_if(changed, now)
    }

    /// Records that a request with these suspects was answered in full, which clears their crashes.
    pub fn record_answer(
        &mut self,
        now: Instant,
        suspects: impl IntoIterator<Item = Suspect>,
    ) -> Vec<BlameChange> {
        let mut changed = false;
        for suspect in suspects {
            self.answers.record(now, suspect);
            let record = self.records.get_mut(&suspect);
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
    pub fn merge(&mut self, now: Instant, crashes: &[SuspectCrash]) -> Vec<BlameChange> {
        let mut changed = false;
        for crash in crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            let Some(at) = now.checked_sub(age).filter(|_| age < CRASH_TTL) else {
                continue;
            };
            if let Some(answered_ms) = crash.answered_ms {
                let answered = now.checked_sub(Duration::from_millis(answered_ms.into()));
                changed |= answered.is_some_and(|at| self.merge_answered(at, crash.suspect));
            }
            changed |= self.insert(now, crash.suspect, crash.instance, at, crash.is_cleared);
        }
        self.recompute_if(changed, now)
    }

    /// Crashes that other processes should know, at most `SHARED_MAX`: the newest cleared ones, and
    /// those of the suspects with most crashes.
    pub fn shared(&self, now: Instant) -> Vec<SuspectCrash> {
        let is_news = |crash: &Crash| now.saturating_duration_since(crash.changed) < NEWS_TIME;
        let mut cleared = Vec::new();
        let mut uncleared = Vec::new();
        for (suspect, record) in &self.records {
            let crashes = record.crashes.iter();
            let news = crashes.filter(|(_, crash)| crash.is_cleared && is_news(crash));
            cleared.extend(news.map(|(instance, crash)| (*suspect, *instance, *crash)));

            let crashes: Vec<_> = record.uncleared().collect();
            let is_suspicious = crashes.len() >= SHARED_FROM_ANSWERED
                || (crashes.len() == 1 && self.answers.last(*suspect).is_none());
            let is_shared = is_suspicious && record.crashes.values().any(is_news);
            if is_shared || self.is_blamed(*suspect) {
                uncleared.push((*suspect, crashes));
            }
        }
        cleared.sort_by_key(|(suspect, instance, crash)| {
            (Reverse(crash.changed), *suspect, *instance)
        });
        cleared.truncate(SHARED_CLEARED_MAX);
        let cleared = cleared
            .into_iter()
            .map(|(suspect, instance, crash)| (suspect, instance, crash.at, true));
        uncleared.sort_by_key(|(suspect, crashes)| {
            let last = crashes.iter().map(|(_, at)| *at).max();
            (Reverse(crashes.len()), Reverse(last), *suspect)
        });
        let uncleared = uncleared.into_iter().flat_map(|(suspect, mut crashes)| {
            crashes.sort_by_key(|(instance, at)| (Reverse(*at), *instance));
            crashes.truncate(SHARED_PER_SUSPECT_MAX);
            let crashes = crashes.into_iter();
            crashes.map(move |(instance, at)| (suspect, instance, at, false))
        });
        let millis = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        cleared
            .chain(uncleared)
            .take(SHARED_MAX)
            .map(|(suspect, instance, at, is_cleared)| SuspectCrash {
                suspect,
                instance,
                is_cleared,
                age_ms: millis(at),
                answered_ms: self.answers.last(suspect).map(millis),
            })
            .collect()
    }

    /// Removes crashes that are too old, and requests that have been cleared for long.
    pub fn expire(&mut self, now: Instant) -> Vec<BlameChange> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut changed = false;
        self.records.retain(|suspect, record| {
            let before = record.crashes.len();
            record.crashes.retain(|_, crash| age(crash.at) < CRASH_TTL);
            changed |= record.crashes.len() < before;
            let is_cleared = record.uncleared().next().is_none();
            match (suspect, record.changed()) {
                (_, None) => false,
                (Suspect::Request(_), Some(at)) if is_cleared => age(at) < CLEARED_REQUEST_TTL,
                _ => true,
            }
        });
        self.answers.expire(now, CRASH_TTL);
        self.recompute_if(changed, now)
    }

    /// Number of suspects with crashes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no suspect has crashes.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a crash or its clearing; returns true when it was not known.
    fn insert(
        &mut self,
        now: Instant,
        suspect: Suspect,
        instance: InstanceId,
        at: Instant,
        is_cleared: bool,
    ) -> bool {
        if !self.records.contains_key(&suspect) && self.records.len() >= SUSPECTS_MAX {
            self.remove_least();
        }
        let record = self.records.entry(suspect).or_default();
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

    fn is_blamed(&self, suspect: Suspect) -> bool {
        self.blamed.keys().any(|blamed| blamed.contains(&suspect))
    }

    fn remove_least(&mut self) {
        let rank = |(suspect, record): (&Suspect, &Record)| {
            let last = record.crashes.values().map(|crash| crash.at).max();
            let is_blamed = self.is_blamed(*suspect);
            (is_blamed, record.uncleared().count(), last, *suspect)
        };
        let mut ranked: Vec<_> = self.records.iter().map(rank).collect();
        ranked.sort_unstable();
        for (_, _, _, suspect) in ranked.into_iter().take(REMOVED_AT_ONCE) {
            self.records.remove(&suspect);
        }
    }

    /// Applies the time of an answer that another process saw; returns true when it is news. It
    /// arrives a little younger than it was sent, which must not go on between processes.
    fn merge_answered(&mut self, at: Instant, suspect: Suspect) -> bool {
        let known = self.answers.last(suspect);
        let is_news = known.is_none_or(|known| at.saturating_duration_since(known) > MOMENT);
        if is_news {
            self.answers.record(at, suspect);
        }
        is_news
    }

    fn recompute_if(&mut self, changed: bool, now: Instant) -> Vec<BlameChange> {
        match changed {
            true => self.recompute(now),
            false => Vec::new(),
        }
    }

    /// Computes anew what is blamed; returns what has changed.
    fn recompute(&mut self, now: Instant) -> Vec<BlameChange> {
        let records = self.records.iter();
        let unexplained = records
            .filter(|(_, record)| record.uncleared().count() >= REQUEST_CRASHES_MAX)
            .map(|(suspect, record)| (*suspect, record.uncleared().collect()));
        let blamed = attribute(now, unexplained.collect(), &self.answers);
        let before = std::mem::replace(&mut self.blamed, blamed);
        let changes = |from: &BTreeMap<Blamed, usize>, to: &BTreeMap<Blamed, usize>| {
            let new = to.iter().filter(|(blamed, _)| !from.contains_key(*blamed));
            new.map(|(blamed, crashes)| (blamed.clone(), *crashes))
                .collect::<Vec<_>>()
        };
        let change = |is_blamed: bool| {
            move |(suspects, crashes)| BlameChange {
                suspects,
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
