//! Events of a stream come out whole, however the bytes come in.

use rstest::rstest;

use super::{EventSplitter, StreamEvent};

const STREAM: &[u8] =
    b"weight-versions: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

fn events(splitter: &mut EventSplitter) -> Vec<StreamEvent> {
    std::iter::from_fn(|| splitter.next_event()).collect()
}

#[rstest]
#[case::bytes(1)]
#[case::pairs(2)]
#[case::parts(7)]
#[case::whole(1_000)]
fn events_come_out_whole(#[case] size: usize) {
    let mut splitter = EventSplitter::default();
    let mut all = Vec::new();
    for part in STREAM.chunks(size) {
        assert!(splitter.push(part));
        all.extend(events(&mut splitter));
    }
    let ids: Vec<_> = all.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    let bytes: Vec<u8> = all.iter().flat_map(|event| event.bytes.to_vec()).collect();
    assert_eq!(bytes, STREAM);
    assert!(splitter.is_empty());
}

#[test]
fn part_of_an_event_stays_behind() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(events(&mut splitter).len(), 1);
    assert!(!splitter.is_empty());
}

#[test]
fn an_event_without_end_is_given_up() {
    let mut splitter = EventSplitter::default();
    let part = [b'x'; 64 * 1024];
    assert!((0..8).any(|_| !splitter.push(&part)));
}
