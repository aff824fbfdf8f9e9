//! Tests of the splitting of event streams.

use rstest::rstest;

use super::{EventSplitter, StreamEvent};

const STREAM: &[u8] =
    b"weight-versions: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

fn events(splitter: &mut EventSplitter) -> Vec<StreamEvent> {
    std::iter::from_fn(|| splitter.next_event()).collect()
}

#[rstest]
#[case::one_byte(1)]
#[case::two_bytes(2)]
#[case::seven_bytes(7)]
#[case::whole_stream(1_000)]
fn events_are_whole_for_any_chunk_size(#[case] size: usize) {
    let mut splitter = EventSplitter::default();
    let mut all = Vec::new();
    for chunk in STREAM.chunks(size) {
        assert!(splitter.push(chunk));
        all.extend(events(&mut splitter));
    }
    let ids: Vec<_> = all.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    let bytes: Vec<u8> = all.iter().flat_map(|event| event.bytes.to_vec()).collect();
    assert_eq!(bytes, STREAM);
    assert!(splitter.is_empty());
}

#[test]
fn partial_event_stays_in_the_buffer() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(events(&mut splitter).len(), 1);
    assert!(!splitter.is_empty());
}

#[test]
fn event_above_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 64 * 1024];
    assert!((0..8).any(|_| !splitter.push(&chunk)));
}
