use proptest::prelude::*;
use rstest::rstest;

use super::EventScanner;

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
