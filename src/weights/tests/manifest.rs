use rstest::rstest;

use crate::weights::{FetchError, Manifest, manifest_digest};

fn text(size: u64, chunk_size: u64, chunks: &[&[u8]]) -> String {
    let digests: Vec<String> = chunks
        .iter()
        .map(|chunk| format!("\"{}\"", blake3::hash(chunk).to_hex()))
        .collect();
    let digests = digests.join(",");
    format!(
        r#"{{"model":"m","version":"v","size":{size},"chunk_size":{chunk_size},"chunks":[{digests}]}}"#
    )
}

#[test]
fn a_chunk_is_known_by_its_digest() {
    let text = text(5, 3, &[b"abc", b"de"]);
    let manifest = Manifest::verify(text.as_bytes(), &manifest_digest(text.as_bytes())).unwrap();
    assert_eq!((manifest.chunk_len(0), manifest.chunk_len(1)), (3, 2));
    assert!(manifest.is_chunk(0, b"abc"));
    assert!(!manifest.is_chunk(0, b"abd"));
    assert!(!manifest.is_chunk(1, b"abc"));
    assert!(!manifest.is_chunk(2, b""));
}

#[rstest]
#[case::too_few_chunks(text(9, 3, &[b"abc", b"de"]))]
#[case::too_many_chunks(text(3, 3, &[b"abc", b"de"]))]
#[case::no_chunk_size(text(5, 0, &[b"abc", b"de"]))]
#[case::no_digest(r#"{"size":3,"chunk_size":3,"chunks":["zz"]}"#.to_owned())]
#[case::no_json("{".to_owned())]
fn a_text_that_is_no_manifest_is_refused_whatever_its_digest(#[case] text: String) {
    let read = Manifest::verify(text.as_bytes(), &manifest_digest(text.as_bytes()));
    assert_eq!(read, Err(FetchError::Corrupt));
}

#[test]
fn a_manifest_with_another_digest_is_refused() {
    let text = text(5, 3, &[b"abc", b"de"]);
    assert_eq!(
        Manifest::verify(text.as_bytes(), "00"),
        Err(FetchError::Corrupt)
    );
}
