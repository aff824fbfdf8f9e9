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
#[case::end_marker_without_line_end("data: x\n\ndata: [DONE]", 1, false)]
#[case::end_marker_inside_text("data: {\"content\":\"[DONE]\"}\n\n", 1, false)]
#[case::comment(": keep-alive\n\n", 0, false)]
#[case::partial_line("data: x\n\ndata: y", 1, false)]
#[case::empty("", 0, false)]
fn scanner_counts_events_and_finds_the_end_marker(
    #[case] stream: &str,
    #[case] events: u64,
    #[case] ended: bool,
) {
    let mut scanner = EventScanner::new();
    scanner.scan(stream.as_bytes());
    assert_eq!((scanner.events(), scanner.is_ended()), (events, ended));
}

proptest! {
    #[test]
    fn scan_result_does_not_depend_on_chunk_size(
        texts in prop::collection::vec("[a-zD:\\[\\]]{0,30}", 0..8),
        ended: bool,
        chunk_size in 1usize..20,
    ) {
        let mut stream: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        if ended {
            stream.push_str("data: [DONE]\n\n");
        }
        let mut whole = EventScanner::new();
        whole.scan(stream.as_bytes());
        let mut chunked = EventScanner::new();
        stream.as_bytes().chunks(chunk_size).for_each(|chunk| chunked.scan(chunk));
        prop_assert_eq!(whole.events(), chunked.events());
        prop_assert_eq!(whole.is_ended(), chunked.is_ended());
    }
}

#[rstest]
#[case::whole(&["data: a\n\n"], "data: a\n\n")]
#[case::split_inside_an_event(&["data: a\n\nda", "ta: b\n\n"], "data: a\n\ndata: b\n\n")]
#[case::partial_last_event(&["data: a\n\ndata: b"], "data: a\n\n")]
#[case::end_in_two_chunks(&["data: a\n", "\ndata"], "data: a\n\n")]
fn splitter_returns_only_whole_events(#[case] chunks: &[&'static str], #[case] expected: &str) {
    let mut splitter = EventSplitter::default();
    let events: Vec<_> = chunks
        .iter()
        .map(|chunk| splitter.push(Bytes::from_static(chunk.as_bytes())).unwrap())
        .collect();
    assert_eq!(events.concat(), expected.as_bytes());
}

#[test]
fn splitter_rejects_an_event_above_the_size_limit() {
    let mut splitter = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 600 * 1024]);
    assert!(splitter.push(chunk.clone()).is_ok());
    assert_eq!(splitter.push(chunk), Err(EventTooLong));
}

#[rstest]
#[case::text(b"{\"booked\":true}")]
#[case::bytes(&[0xff, 0x00, 0x41])]
#[case::empty(b"")]
fn stored_answer_round_trips(#[case] body: &[u8]) {
    let content_type = HeaderValue::from_static("application/json");
    let stored = StoredAnswer::new(StatusCode::CREATED, Some(&content_type), body);
    let read = StoredAnswer::from_text(&stored.to_text()).unwrap();
    let response = read.into_response().unwrap();
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["content-type"], "application/json");
    assert_eq!(&response.body()[..], body);
}

/// Regression: a record from which no response can be made was answered by an empty 200.
#[rstest]
#[case::status_no_number(r#"{"status":"200","content_type":null,"body":{"text":"a"}}"#)]
#[case::status_too_low(r#"{"status":99,"content_type":null,"body":{"text":"a"}}"#)]
#[case::status_too_high(r#"{"status":1000,"content_type":null,"body":{"text":"a"}}"#)]
#[case::informational(r#"{"status":100,"content_type":null,"body":{"text":"a"}}"#)]
#[case::content_type(r#"{"status":200,"content_type":"a\nb","body":{"text":"a"}}"#)]
#[case::without_body(r#"{"status":200,"content_type":null}"#)]
#[case::cut(r#"{"status":200,"content_type":null,"body":{"text":"a"#)]
#[case::empty("")]
fn a_record_that_is_no_answer_is_invalid(#[case] text: &str) {
    assert_eq!(StoredAnswer::from_text(text), None);
}

#[rstest]
#[case::same_request_and_version("data: {\"id\":\"a1\",\"version\":\"v1\"}\n\n", true)]
#[case::other_request("data: {\"id\":\"a2\",\"version\":\"v1\"}\n\n", false)]
#[case::other_version("data: {\"id\":\"a1\",\"version\":\"v2\"}\n\n", false)]
#[case::other_version_in_second_event(
    "data: {\"version\":\"v1\"}\n\ndata: {\"version\":\"v2\"}\n\n",
    false
)]
#[case::neither_named("data: {\"index\":3}\n\n", true)]
#[case::end_marker("data: [DONE]\n\n", true)]
#[case::comment(": v2\n\n", true)]
fn events_of_another_request_or_version_are_rejected(#[case] events: &str, #[case] passes: bool) {
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
#[case::other_request("{\"id\":\"a2\",\"choices\":[{}],\"usage\":{}}", false)]
#[case::other_version("{\"version\":\"v2\",\"choices\":[{}],\"usage\":{}}", false)]
#[case::truncated("{\"id\":\"a1\",\"choices\":[{}", false)]
fn only_a_complete_completion_of_the_request_passes(#[case] body: &str, #[case] passes: bool) {
    let check = EventCheck::new("a1".into(), "v1".into());
    assert_eq!(check.passes_completion(body.as_bytes()), passes);
}
