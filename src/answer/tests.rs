use proptest::prelude::*;
use rstest::rstest;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;

use super::{EventCheck, EventScanner, EventSplitter, EventTooLong, StoredAnswer};

#[rstest]
#[case::whole("data: {\"a\":1}\n\ndata: [DONE]\n\n", 1, true)]
#[case::carriage_returns("data: x\r\n\r\ndata: [DONE]\r\n\r\n", 1, true)]
#[case::no_space("data:x\n\ndata:[DONE]\n\n", 1, true)]
#[case::end_mark_without_line_end("data: x\n\ndata: [DONE]", 1, false)]
#[case::end_mark_in_text("data: {\"content\":\"[DONE]\"}\n\n", 1, false)]
#[case::comment(": keep-alive\n\n", 0, false)]
#[case::cut("data: x\n\ndata: y", 1, false)]
#[case::empty("", 0, false)]
fn events_and_end_mark(#[case] stream: &str, #[case] events: u64, #[case] ended: bool) {
    let mut scanner = EventScanner::new();
    scanner.scan(stream.as_bytes());
    assert_eq!((scanner.events(), scanner.is_ended()), (events, ended));
}

proptest! {
    #[test]
    fn chunk_borders_do_not_matter(
        texts in prop::collection::vec("[a-zD:\\[\\]]{0,30}", 0..8),
        ended: bool,
        cut in 1usize..20,
    ) {
        let mut stream: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        if ended {
            stream.push_str("data: [DONE]\n\n");
        }
        let mut whole = EventScanner::new();
        whole.scan(stream.as_bytes());
        let mut parts = EventScanner::new();
        stream.as_bytes().chunks(cut).for_each(|chunk| parts.scan(chunk));
        prop_assert_eq!(whole.events(), parts.events());
        prop_assert_eq!(whole.is_ended(), parts.is_ended());
    }
}

#[rstest]
#[case::whole(&["data: a\n\n"], "data: a\n\n")]
#[case::cut(&["data: a\n\nda", "ta: b\n\n"], "data: a\n\ndata: b\n\n")]
#[case::unfinished(&["data: a\n\ndata: b"], "data: a\n\n")]
#[case::end_in_two_chunks(&["data: a\n", "\ndata"], "data: a\n\n")]
fn splitter_lets_whole_events_through(#[case] chunks: &[&'static str], #[case] expected: &str) {
    let mut splitter = EventSplitter::default();
    let events: Vec<_> = chunks
        .iter()
        .map(|chunk| splitter.push(Bytes::from_static(chunk.as_bytes())).unwrap())
        .collect();
    assert_eq!(events.concat(), expected.as_bytes());
}

#[test]
fn splitter_bounds_an_event() {
    let mut splitter = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 600 * 1024]);
    assert!(splitter.push(chunk.clone()).is_ok());
    assert_eq!(splitter.push(chunk), Err(EventTooLong));
}

#[rstest]
#[case::text(b"{\"booked\":true}")]
#[case::bytes(&[0xff, 0x00, 0x41])]
#[case::empty(b"")]
fn stored_answers_keep_every_byte(#[case] body: &[u8]) {
    let kind = HeaderValue::from_static("application/json");
    let stored = StoredAnswer::new(StatusCode::CREATED, Some(&kind), body);
    let read = StoredAnswer::from_text(&stored.to_text()).unwrap();
    let response = read.into_response().unwrap();
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["content-type"], "application/json");
    assert_eq!(&response.body()[..], body);
}

#[rstest]
#[case::own("data: {\"id\":\"a1\",\"version\":\"v1\"}\n\n", true)]
#[case::crossed("data: {\"id\":\"a2\",\"version\":\"v1\"}\n\n", false)]
#[case::swapped("data: {\"id\":\"a1\",\"version\":\"v2\"}\n\n", false)]
#[case::second_event("data: {\"version\":\"v1\"}\n\ndata: {\"version\":\"v2\"}\n\n", false)]
#[case::silent("data: {\"index\":3}\n\n", true)]
#[case::end_mark("data: [DONE]\n\n", true)]
#[case::comment(": v2\n\n", true)]
fn events_of_another_request_or_version_do_not_pass(#[case] events: &str, #[case] passes: bool) {
    let check = EventCheck::new("a1".into(), "v1".into());
    assert_eq!(check.passes_events(events.as_bytes()), passes);
}

#[rstest]
#[case::whole(
    "{\"id\":\"a1\",\"version\":\"v1\",\"choices\":[{}],\"usage\":{}}",
    true
)]
#[case::no_choices("{\"id\":\"a1\",\"choices\":[]}", false)]
#[case::no_usage("{\"id\":\"a1\",\"choices\":[{}]}", false)]
#[case::crossed("{\"id\":\"a2\",\"choices\":[{}],\"usage\":{}}", false)]
#[case::swapped("{\"version\":\"v2\",\"choices\":[{}],\"usage\":{}}", false)]
#[case::cut("{\"id\":\"a1\",\"choices\":[{}", false)]
fn only_a_whole_completion_passes(#[case] body: &str, #[case] passes: bool) {
    let check = EventCheck::new("a1".into(), "v1".into());
    assert_eq!(check.passes_completion(body.as_bytes()), passes);
}
