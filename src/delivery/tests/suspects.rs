//! Attribution of crashes to prompt parts.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;

use crate::delivery::suspects::{SHARED_MAX, SUSPECTS_MAX};
use crate::delivery::*;
use crate::fuzz_config::fuzz_config;
use crate::types::PromptPart;

/// Number of random exchanges per run.
const CASES: u32 = 256;

/// Parses a prompt part such as `7`, or a request such as `r7`.
fn suspect(text: &str) -> Suspect {
    match text.strip_prefix('r') {
        Some(digest) => Suspect::Request(digest.parse().unwrap()),
        None => Suspect::Part(text.parse().unwrap()),
    }
}

fn parts(numbers: &[PromptPart]) -> Vec<Suspect> {
    numbers.iter().copied().map(Suspect::Part).collect()
}

/// Applies events that are 100 ms apart: `crash INSTANCE SUSPECTS`, `answer SUSPECTS`, `wait SECONDS`.
fn apply(all: &mut Suspects, mut now: Instant, events: &[&str]) -> Instant {
    for event in events {
        now += Duration::from_millis(100);
        let words: Vec<&str> = event.split(' ').collect();
        let suspects =
            |words: &[&str]| -> Vec<Suspect> { words.iter().map(|word| suspect(word)).collect() };
        match words[0] {
            "crash" => {
                all.record_crash(now, suspects(&words[2..]), words[1].parse().unwrap());
            }
            "answer" => {
                all.record_answer(now, suspects(&words[1..]));
            }
            _ => now += Duration::from_secs(words[1].parse().unwrap()),
        }
    }
    now
}

fn name(suspect: &Suspect) -> String {
    match suspect {
        Suspect::Part(part) => part.to_string(),
        Suspect::Request(digest) => format!("r{digest}"),
    }
}

/// Blamed suspects, `+` between those that are blamed together.
fn blamed_text(suspects: &Suspects) -> String {
    let blamed = suspects.blamed().map(|blamed| {
        let names: Vec<_> = blamed.iter().map(name).collect();
        names.join("+")
    });
    blamed.collect::<Vec<_>>().join(" ")
}

#[rstest]
#[case::two_crashes(&["crash 1 7", "crash 2 7"], "")]
#[case::three_crashes(&["crash 1 7", "crash 2 7", "crash 3 7"], "7")]
#[case::one_crash_seen_three_times(&["crash 1 7", "crash 1 7", "crash 1 7"], "")]
#[case::answer_clears(&["crash 1 7", "crash 2 7", "answer 7", "crash 3 7", "crash 4 7"], "")]
#[case::answer_releases(&["crash 1 7", "crash 2 7", "crash 3 7", "answer 7"], "")]
// Part 1 is shared by all requests, 2 is in sound ones that ran beside a harmful one.
#[case::shared_part_is_answered_between(
    &["crash 1 1 7", "answer 1", "crash 2 1 2 7", "answer 1", "crash 3 1 2 7"], "7")]
#[case::shared_part_was_answered_long_ago(
    &["answer 1 2", "wait 60", "crash 1 1 2 7", "crash 2 1 2 7", "crash 3 1 2 7"], "7")]
#[case::answered_part_has_more_crashes_than_the_harmful_one(
    &["answer 1", "crash 1 1", "crash 2 1", "crash 3 1 7", "crash 4 1 7", "crash 5 1 7"], "7")]
#[case::harmful_part_has_most_crashes(
    &["crash 1 1 7", "crash 2 1 7", "crash 3 1 7", "crash 4 7"], "7")]
#[case::two_harmful_parts(
    &["crash 1 7", "crash 2 7", "crash 3 7", "crash 4 8", "crash 5 8", "crash 6 8"], "7 8")]
#[case::indistinguishable(&["crash 1 1 7", "crash 2 1 7", "crash 3 1 7"], "1+7")]
#[case::told_apart_by_an_answer(
    &["crash 1 1 7", "crash 2 1 7", "crash 3 1 7", "answer 1"], "7")]
#[case::told_apart_by_a_crash(
    &["crash 1 1 7", "crash 2 1 7", "crash 3 1 7", "crash 4 2 7"], "7")]
#[case::recently_answered(
    &["answer 1", "crash 1 1", "wait 1", "crash 2 1", "wait 1", "crash 3 1", "crash 4 1"], "")]
#[case::answered_part_that_became_harmful(
    &["answer 1", "crash 1 1", "wait 2", "crash 2 1", "wait 3", "crash 3 1"], "1")]
// The end of many endpoints at once is not the work of one part.
#[case::answered_part_with_many_crashes_at_once(
    &["answer 1", "wait 6", "crash 1 1", "crash 2 1", "crash 3 1", "crash 4 1", "crash 5 1"], "")]
// Requests are named `r7`.
#[case::one_crash_of_a_request(&["crash 1 r7"], "")]
#[case::two_crashes_of_a_request(&["crash 1 r7", "crash 2 r7"], "r7")]
#[case::request_with_a_shared_part(
    &["answer 1", "crash 1 1 r7", "answer 1", "crash 2 1 r7"], "r7")]
#[case::request_with_a_new_part(&["crash 1 7 r7", "crash 2 7 r7", "crash 3 7 r7"], "7+r7")]
#[case::part_in_two_requests(&["crash 1 7 r7", "crash 2 7 r7", "crash 3 7 r8"], "7")]
#[case::answered_request(&["crash 1 r7", "answer r7", "crash 2 r7"], "")]
#[case::request_that_is_often_answered(
    &["answer r7", "crash 1 r7", "crash 2 r7", "crash 3 r7", "crash 4 r7"], "")]
// Request 8 ran beside 7 at each crash.
#[case::tied_requests(&["crash 1 r7 r8", "crash 2 r7 r8", "crash 3 r7 r8"], "")]
#[case::tied_requests_told_apart_by_an_answer(
    &["crash 1 r7 r8", "crash 2 r7 r8", "answer r8"], "r7")]
#[case::tied_requests_told_apart_by_a_crash(
    &["crash 1 r7 r8", "crash 2 r7 r8", "crash 3 r7"], "r7")]
#[case::tied_requests_that_go_on(
    &["crash 1 r7 r8", "crash 2 r7 r8", "crash 3 r7 r8", "crash 4 r7 r8"], "r7 r8")]
#[case::tied_requests_with_a_new_part(
    &["crash 1 7 r7 r8", "crash 2 7 r7 r8", "crash 3 7 r7 r8"], "7")]
fn blame_follows_crashes_and_answers(#[case] events: &[&str], #[case] expected: &str) {
    let mut suspects = Suspects::default();
    apply(&mut suspects, Instant::now(), events);
    assert_eq!(blamed_text(&suspects), expected);
}

#[test]
fn only_requests_with_all_parts_that_are_blamed_together_are_refused() {
    let mut suspects = Suspects::default();
    let events = ["crash 1 1 7", "crash 2 1 7", "crash 3 1 7"];
    apply(&mut suspects, Instant::now(), &events);
    assert!(suspects.blamed_among(&parts(&[7, 4, 1])).is_some());
    assert!(suspects.blamed_among(&parts(&[1, 4])).is_none());
    assert!(suspects.blamed_among(&[]).is_none());
}

#[test]
fn changes_of_blame_are_returned_once() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    apply(&mut suspects, now, &["crash 1 7", "crash 2 7"]);
    let change = |is_blamed, crashes| BlameChange {
        suspects: [Suspect::Part(7)].into(),
        is_blamed,
        crashes,
    };
    assert_eq!(
        suspects.record_crash(now, parts(&[7]), 3),
        [change(true, 3)]
    );
    assert_eq!(suspects.record_crash(now, parts(&[7]), 4), []);
    assert_eq!(suspects.record_answer(now, parts(&[7])), [change(false, 4)]);
    assert_eq!(suspects.record_answer(now, parts(&[7])), []);
}

#[test]
fn the_crash_of_an_instance_that_is_alive_counts_no_more() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let now = apply(&mut suspects, now, &["crash 1 7", "crash 2 7", "crash 3 7"]);
    suspects.clear_instance(now, 2);
    assert_eq!(blamed_text(&suspects), "");
    apply(&mut suspects, now, &["crash 4 7"]);
    assert_eq!(blamed_text(&suspects), "7");
}

#[test]
fn crashes_of_two_processes_add_up_and_cleared_wins() {
    let now = Instant::now();
    let (mut a, mut b) = (Suspects::default(), Suspects::default());
    apply(&mut a, now, &["crash 1 7", "crash 2 7"]);
    let now = apply(&mut b, now, &["crash 2 7", "crash 3 7"]);
    a.merge(now, &b.shared(now));
    assert_eq!(blamed_text(&a), "7");
    let before = a.shared(now);
    b.merge(now, &before);
    b.record_answer(now, parts(&[7]));
    a.merge(now, &b.shared(now));
    assert_eq!(blamed_text(&a), "");
    // A delayed message does not undo the clearing.
    assert_eq!(a.merge(now, &before), []);
    assert_eq!(blamed_text(&a), "");
}

#[test]
fn exchanged_crashes_expire_with_the_original_one() {
    let now = Instant::now();
    let (mut a, mut b) = (Suspects::default(), Suspects::default());
    apply(&mut a, now, &["crash 1 7", "crash 2 7", "crash 3 7"]);
    let halfway = now + Duration::from_secs(30 * 60);
    b.merge(halfway, &a.shared(halfway));
    assert_eq!(blamed_text(&b), "7");
    let end = now + Duration::from_secs(60 * 60 + 1);
    assert_eq!(b.expire(end).len(), 1);
    a.merge(end, &b.shared(end));
    a.expire(end);
    assert!(a.is_empty() && b.is_empty());
}

#[test]
fn only_news_and_crashes_of_blamed_parts_are_shared() {
    let mut suspects = Suspects::default();
    let events = [
        "crash 1 7",
        "crash 2 7",
        "crash 3 7",
        "crash 4 8",
        "crash 5 9",
        "answer 9",
    ];
    let now = apply(&mut suspects, Instant::now(), &events);
    let shared = |now| {
        let shared = suspects.shared(now);
        let names: Vec<_> = shared.iter().map(|crash| name(&crash.suspect)).collect();
        names.join(" ")
    };
    assert_eq!(shared(now), "9 7 7 7 8");
    assert_eq!(shared(now + Duration::from_secs(61)), "7 7 7");
}

#[test]
fn crashes_and_what_is_shared_of_them_are_bounded() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for n in 0..1_400 {
        let suspects_of = [7, 1_000 + n % 90, 2_000 + n];
        suspects.record_crash(now, parts(&suspects_of), n);
        suspects.record_answer(now, parts(&[20_000 + 2 * n, 20_000 + 2 * n + 1]));
        assert!(suspects.len() <= SUSPECTS_MAX);
    }
    // The least ones are removed in batches.
    assert!(suspects.len() > SUSPECTS_MAX * 7 / 8);
    assert!(suspects.blamed_among(&parts(&[7])).is_some());
    let shared = suspects.shared(now);
    assert_eq!(shared.len(), SHARED_MAX);
    // The one with most crashes comes first.
    let first = shared
        .iter()
        .filter(|crash| crash.suspect == Suspect::Part(7));
    assert!(first.count() >= 3);
}

#[rstest]
#[case::few_others(4_000, "")]
#[case::many_others(4_200, "1")]
fn the_oldest_answers_are_forgotten(#[case] others: u64, #[case] expected: &str) {
    let mut now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_answer(now, parts(&[1]));
    for other in 0..others {
        now += Duration::from_millis(1);
        suspects.record_answer(now, parts(&[10 + other]));
    }
    apply(&mut suspects, now, &["crash 1 1", "crash 2 1", "crash 3 1"]);
    assert_eq!(blamed_text(&suspects), expected);
}

proptest! {
    #![proptest_config(fuzz_config(CASES))]

    /// Order and number of the exchanges do not matter.
    #[test]
    fn exchanges_in_any_order_lead_to_the_same_blame(
        events in proptest::collection::vec((0usize..2, 0u64..6, 1u64..4, any::<bool>()), 0..24),
        order in proptest::collection::vec(any::<bool>(), 0..8),
    ) {
        let now = Instant::now();
        let mut pair = [Suspects::default(), Suspects::default()];
        for (at, instance, number, is_answer) in events {
            let suspect = match number % 2 {
                0 => Suspect::Request(number),
                _ => Suspect::Part(number),
            };
            match is_answer {
                true => pair[at].record_answer(now, [suspect]),
                false => pair[at].record_crash(now, [suspect], instance),
            };
        }
        let messages = [pair[0].shared(now), pair[1].shared(now)];
        let mut joined = Suspects::default();
        for first in order.iter().copied().chain([true, false]) {
            joined.merge(now, &messages[usize::from(first)]);
        }
        let mut other = Suspects::default();
        other.merge(now, &messages[0]);
        other.merge(now, &messages[1]);
        let shared = |suspects: &Suspects| {
            let mut shared = suspects.shared(now);
            shared.sort_by_key(|crash| (crash.suspect, crash.instance));
            shared
        };
        prop_assert_eq!(shared(&joined), shared(&other));
        prop_assert_eq!(blamed_text(&joined), blamed_text(&other));
    }
}
