use rstest::rstest;

use crate::weights::{FetchError, Manifest, manifest_digest};

fn manifest_json(size: u64, chunk_size: u64, chunks: &[&[u8]]) -> String {
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
fn a_chunk_is_verified_by_its_digest() {
    let text = manifest_json(5, 3, &[b"abc", b"de"]);
    let manifest = Manifest::verify(text.as_bytes(), &manifest_digest(text.as_bytes())).unwrap();
    assert_eq!((manifest.chunk_len(0), manifest.chunk_len(1)), (3, 2));
    assert!(manifest.is_chunk(0, b"abc"));
    assert!(!manifest.is_chunk(0, b"abd"));
    assert!(!manifest.is_chunk(1, b"abc"));
    assert!(!manifest.is_chunk(2, b""));
}

#[rstest]
#[case::too_few_chunks(manifest_json(9, 3, &[b"abc", b"de"]))]
#[case::too_many_chunks(manifest_json(3, 3, &[b"abc", b"de"]))]
#[case::zero_chunk_size(manifest_json(5, 0, &[b"abc", b"de"]))]
#[case::invalid_digest(r#"{"size":3,"chunk_size":3,"chunks":["zz"]}"#.to_owned())]
#[case::invalid_json("{".to_owned())]
fn an_invalid_manifest_is_rejected_even_if_its_digest_matches(#[case] text: String) {
    let read = Manifest::verify(text.as_bytes(), &manifest_digest(text.as_bytes()));
    assert_eq!(read, Err(FetchError::Corrupt));
}

#[test]
fn a_manifest_with_a_different_digest_is_rejected() {
    let text = manifest_json(5, 3, &[b"abc", b"de"]);
    assert_eq!(
        Manifest::verify(text.as_bytes(), "00"),
        Err(FetchError::Corrupt)
    );
}
