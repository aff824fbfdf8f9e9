use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::clients::{Object, PlatformError};
use crate::config::*;

const WRITER: &str = "own";

fn object(version: u64, writers: &[&str]) -> Object {
    let writers = writers.iter().map(|writer| Arc::from(*writer)).collect();
    let body = Body {
        writers,
        targets: Targets::default(),
    };
    Object {
        key: "config/current".into(),
        version,
        value: body.to_value().into(),
    }
}

fn lost() -> PlatformError {
    PlatformError::Lost("cut".to_owned())
}

fn conflict() -> PlatformError {
    PlatformError::Conflict { current: 6 }
}

fn write() -> Write {
    Write::new(WRITER.into(), 5)
}

#[test]
fn answered_write_is_accepted() {
    assert_eq!(
        write().handle_put_reply(Ok(6)),
        Some(WriteOutcome::Accepted(6))
    );
}

#[rstest]
#[case::own(object(6, &[WRITER, "w0"]), WriteOutcome::Accepted(6))]
#[case::replaced_since(object(7, &["other", WRITER]), WriteOutcome::Replaced(object(7, &["other", WRITER])))]
#[case::concurrent_write(object(6, &["other", "w0"]), WriteOutcome::RaceLost(object(6, &["other", "w0"])))]
fn lost_answer_is_resolved_by_reading_back(#[case] found: Object, #[case] expected: WriteOutcome) {
    let mut write = write();
    assert_eq!(write.handle_put_reply(Err(lost())), None);
    assert_eq!(write.next(), WriteCall::Put);
    assert_eq!(write.handle_put_reply(Err(conflict())), None);
    assert_eq!(write.next(), WriteCall::Get);
    assert_eq!(
        write.handle_get_reply(Ok(Some(object(5, &["w0"])))),
        None,
        "stale read"
    );
    assert_eq!(write.handle_get_reply(Ok(Some(found))), Some(expected));
}

#[test]
fn write_that_may_be_unlisted_is_unsettled() {
    let writers = ["r"; Body::MAX_WRITERS];
    let mut write = write();
    write.handle_put_reply(Err(lost()));
    write.handle_put_reply(Err(conflict()));
    let end = write.handle_get_reply(Ok(Some(object(20, &writers))));
    assert!(matches!(end, Some(WriteOutcome::Unsettled(_))), "{end:?}");
}

#[rstest]
#[case::certainly_without_effect(PlatformError::Refused("503".to_owned()), false)]
#[case::possibly_with_effect(lost(), true)]
fn long_outage_ends_as_refused_or_unsettled(
    #[case] e: PlatformError,
    #[case] may_have_written: bool,
) {
    let mut write = write();
    let end = std::iter::repeat_with(|| write.handle_put_reply(Err(e.clone()))).find_map(|end| end);
    let expected = if may_have_written {
        WriteOutcome::Unsettled(e)
    } else {
        WriteOutcome::Refused(e)
    };
    assert_eq!(end, Some(expected));
}

/// Fault injected into one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// No fault: the call is carried out and answered.
    Answered,
    Refused,
    LostBefore,
    LostAfter,
    StaleRead,
    ConcurrentWriteFirst,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Answered),
        Just(Fault::Refused),
        Just(Fault::LostBefore),
        Just(Fault::LostAfter),
        Just(Fault::StaleRead),
        Just(Fault::ConcurrentWriteFirst),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any sequence of faults the write takes effect at most once, never replaces a
    /// concurrent write, and reports its true outcome.
    #[test]
    fn outcome_matches_what_was_written(faults in prop::collection::vec(fault(), 0..40)) {
        let mut log = vec![object(5, &["w0"])];
        let mut write = write();
        let mut faults = faults.into_iter();
        let end = loop {
            let fault = faults.next().unwrap_or(Fault::Answered);
            let newest = log.last().unwrap().clone();
            if matches!(fault, Fault::ConcurrentWriteFirst) {
                log.push(successor(&newest, "other"));
            }
            if let Some(end) = call(&mut write, &mut log, fault) {
                break end;
            }
        };
        let own: Vec<u64> = log
            .iter()
            .filter(|object| Body::parse(&object.value).unwrap().writers[0] == WRITER.into())
            .map(|object| object.version)
            .collect();
        prop_assert!(own.is_empty() || own == [6], "{own:?}");
        match end {
            WriteOutcome::Accepted(version) => prop_assert_eq!(own, [version]),
            WriteOutcome::Replaced(object) => prop_assert!(own == [6] && object.version > 6),
            WriteOutcome::RaceLost(_) | WriteOutcome::Refused(_) => prop_assert!(own.is_empty()),
            WriteOutcome::Unsettled(_) => {}
        }
    }
}

fn successor(newest: &Object, writer: &str) -> Object {
    let replaced = Body::parse(&newest.value).unwrap();
    let body = Body::new(writer.into(), Targets::default(), Some(&replaced));
    Object {
        version: newest.version + 1,
        value: body.to_value().into(),
        ..newest.clone()
    }
}

fn call(write: &mut Write, log: &mut Vec<Object>, fault: Fault) -> Option<WriteOutcome> {
    let newest = log.last().unwrap().clone();
    match (write.next(), fault) {
        (WriteCall::Put, Fault::Refused) => {
            write.handle_put_reply(Err(PlatformError::Refused("503".to_owned())))
        }
        (WriteCall::Put, Fault::LostBefore) => write.handle_put_reply(Err(lost())),
        (WriteCall::Put, _) if newest.version != 5 => {
            let current = newest.version;
            write.handle_put_reply(Err(PlatformError::Conflict { current }))
        }
        (WriteCall::Put, fault) => {
            log.push(successor(&newest, WRITER));
            match fault {
                Fault::LostAfter => write.handle_put_reply(Err(lost())),
                _ => write.handle_put_reply(Ok(newest.version + 1)),
            }
        }
        (WriteCall::Get, Fault::Refused | Fault::LostBefore | Fault::LostAfter) => {
            write.handle_get_reply(Err(lost()))
        }
        (WriteCall::Get, Fault::StaleRead) => write.handle_get_reply(Ok(log.first().cloned())),
        (WriteCall::Get, _) => write.handle_get_reply(Ok(Some(newest))),
    }
}
