//! Tests of the relay without processes.

mod event_order;
mod guards;
mod race;

use rstest::rstest;

use crate::relay::{EventSplitter, StreamEvent};

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
    assert!(splitter.is_between_events());
}

#[test]
fn partial_event_stays_in_the_buffer() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(events(&mut splitter).len(), 1);
    assert!(!splitter.is_between_events());
}

#[test]
fn events_without_a_number_wait_for_the_next_number_or_the_end() {
    let mut splitter = EventSplitter::default();
    splitter.push(b": one\n\ndata: two\n\n");
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_between_events());
    splitter.push(b"id: 3\ndata: a\n\n: four\n\n");
    let all = events(&mut splitter);
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].id, Some(3));
    assert_eq!(
        all[0].bytes[..],
        b": one\n\ndata: two\n\nid: 3\ndata: a\n\n"[..]
    );
    let rest = splitter.take_unnumbered().unwrap();
    assert_eq!((rest.id, &rest.bytes[..]), (None, &b": four\n\n"[..]));
    assert_eq!(splitter.take_unnumbered(), None);
    assert!(splitter.is_between_events());
}

#[test]
fn endless_events_without_a_number_are_rejected() {
    let mut splitter = EventSplitter::default();
    let mut accepted = || {
        let accepted = splitter.push(b"data: noise\n\n");
        assert_eq!(splitter.next_event(), None);
        accepted
    };
    assert!((0..64 * 1024).any(|_| !accepted()));
}

#[test]
fn many_whole_events_in_one_piece_are_accepted() {
    let mut splitter = EventSplitter::default();
    let many: String = (1..=10_000)
        .map(|id| format!("id: {id}\ndata: a\n\n"))
        .collect();
    splitter.push(b"id: 0\nda");
    assert!(splitter.push(b"ta: a\n\n"));
    assert!(splitter.push(many.as_bytes()));
    assert_eq!(events(&mut splitter).len(), 10_001);
    assert!(splitter.push(many.as_bytes()));
}

#[test]
fn event_above_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 64 * 1024];
    assert!((0..8).any(|_| !splitter.push(&chunk)));
}
