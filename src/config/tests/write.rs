use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::clients::{Object, PlatformError};
use crate::config::*;

const MARK: &str = "own";

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
    Write::new(MARK.into(), 5)
}

#[test]
fn an_answered_write_is_accepted() {
    assert_eq!(
        write().handle_put_reply(Ok(6)),
        Some(WriteOutcome::Accepted(6))
    );
}

#[rstest]
#[case::own(object(6, &[MARK, "w0"]), WriteOutcome::Accepted(6))]
#[case::replaced_since(object(7, &["rival", MARK]), WriteOutcome::Replaced(object(7, &["rival", MARK])))]
#[case::rival(object(6, &["rival", "w0"]), WriteOutcome::RaceLost(object(6, &["rival", "w0"])))]
fn a_lost_answer_is_settled_by_reading_back(#[case] found: Object, #[case] expected: WriteOutcome) {
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
fn a_write_that_may_be_forgotten_is_not_called_lost() {
    let writers = ["r"; Body::MAX_WRITERS];
    let mut write = write();
    write.handle_put_reply(Err(lost()));
    write.handle_put_reply(Err(conflict()));
    let end = write.handle_get_reply(Ok(Some(object(20, &writers))));
    assert!(matches!(end, Some(WriteOutcome::Unsettled(_))), "{end:?}");
}

#[rstest]
#[case::never_sent(PlatformError::Refused("503".to_owned()), false)]
#[case::maybe_sent(lost(), true)]
fn a_long_outage_ends_truthfully(#[case] e: PlatformError, #[case] may_have_written: bool) {
    let mut write = write();
    let end = std::iter::repeat_with(|| write.handle_put_reply(Err(e.clone()))).find_map(|end| end);
    let expected = if may_have_written {
        WriteOutcome::Unsettled(e)
    } else {
        WriteOutcome::Refused(e)
    };
    assert_eq!(end, Some(expected));
}

/// What happens to one call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Fine,
    Refused,
    LostBefore,
    LostAfter,
    StaleRead,
    RivalFirst,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        Just(Fate::Fine),
        Just(Fate::Refused),
        Just(Fate::LostBefore),
        Just(Fate::LostAfter),
        Just(Fate::StaleRead),
        Just(Fate::RivalFirst),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever happens to the calls, the write takes effect at most once, never over a rival's,
    /// and its end is true.
    #[test]
    fn a_write_is_told_truly(fates in prop::collection::vec(fate(), 0..40)) {
        let mut log = vec![object(5, &["w0"])];
        let mut write = write();
        let mut fates = fates.into_iter();
        let end = loop {
            let fate = fates.next().unwrap_or(Fate::Fine);
            let newest = log.last().unwrap().clone();
            if matches!(fate, Fate::RivalFirst) {
                log.push(successor(&newest, "rival"));
            }
            if let Some(end) = call(&mut write, &mut log, fate) {
                break end;
            }
        };
        let own: Vec<u64> = log
            .iter()
            .filter(|object| Body::parse(&object.value).unwrap().writers[0] == MARK.into())
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

fn call(write: &mut Write, log: &mut Vec<Object>, fate: Fate) -> Option<WriteOutcome> {
    let newest = log.last().unwrap().clone();
    match (write.next(), fate) {
        (WriteCall::Put, Fate::Refused) => {
            write.handle_put_reply(Err(PlatformError::Refused("503".to_owned())))
        }
        (WriteCall::Put, Fate::LostBefore) => write.handle_put_reply(Err(lost())),
        (WriteCall::Put, _) if newest.version != 5 => {
            let current = newest.version;
            write.handle_put_reply(Err(PlatformError::Conflict { current }))
        }
        (WriteCall::Put, fate) => {
            log.push(successor(&newest, MARK));
            match fate {
                Fate::LostAfter => write.handle_put_reply(Err(lost())),
                _ => write.handle_put_reply(Ok(newest.version + 1)),
            }
        }
        (WriteCall::Get, Fate::Refused | Fate::LostBefore | Fate::LostAfter) => {
            write.handle_get_reply(Err(lost()))
        }
        (WriteCall::Get, Fate::StaleRead) => write.handle_get_reply(Ok(log.first().cloned())),
        (WriteCall::Get, _) => write.handle_get_reply(Ok(Some(newest))),
    }
}
