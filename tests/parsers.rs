//! Parsers of network and file input return an error for invalid input and never panic.

use limpetloom::cli::Args;
use limpetloom::config::{Body, Targets};
use limpetloom::settings::{AgentSettings, EntrySettings, FromIni, OperatorSettings, TargetsFile};
use limpetloom::weights::Manifest;
use limpetloom::wire::{
    EntryStatus, SettleReply, SettleRequest, SyncReply, SyncRequest, VersionedDocument,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TARGETS: &str = "\
[site]
power = 12 kW
[class chat]
target = llama
first_token = 0.89 s
power = 8 kW
[model llama]
version = v1
";

/// Text that resembles INI, with values at the limits of each kind of setting and beyond.
fn ini() -> impl Strategy<Value = String> {
    let head = prop_oneof![
        Just("[site]".to_owned()),
        Just("[limits]".to_owned()),
        Just("[endpoint a]".to_owned()),
        "\\[[a-z ]{0,9}\\]?",
    ];
    let key = prop_oneof![
        Just("power".to_owned()),
        Just("heartbeat".to_owned()),
        Just("upload_rate".to_owned()),
        Just("traffic".to_owned()),
        Just("seed".to_owned()),
        "[a-z_]{0,9}",
    ];
    let value = prop_oneof![
        "[0-9]{0,40}(\\.[0-9]{0,40})? ?(us|ms|s|min|h|B|GB|kB/s|W|GW|kJ)?",
        "[0-9.:\\[\\]]{0,24}",
        ".{0,12}",
    ];
    let line = prop_oneof![
        head,
        (key, value).prop_map(|(key, value)| format!("{key} = {value}")),
        ".{0,24}",
    ];
    prop::collection::vec(line, 0..12).prop_map(|lines| lines.join("\n"))
}

/// `text` with 1 to 5 bytes replaced; invalid UTF-8 becomes U+FFFD.
fn mutated(text: &'static str) -> impl Strategy<Value = String> {
    let at = prop::collection::vec((0..text.len(), any::<u8>()), 1..6);
    at.prop_map(move |changes| {
        let mut buf = text.as_bytes().to_vec();
        for (at, byte) in changes {
            buf[at] = byte;
        }
        String::from_utf8_lossy(&buf).into_owned()
    })
}

fn parse_files(text: &str) {
    let _ = EntrySettings::parse("f", text);
    let _ = AgentSettings::parse("f", text);
    let _ = OperatorSettings::parse("f", text);
    let _ = TargetsFile::parse("f", text);
}

fn parse_messages(text: &str) {
    let _ = serde_json::from_str::<SyncRequest>(text);
    let _ = serde_json::from_str::<SyncReply>(text);
    let _ = serde_json::from_str::<SettleRequest>(text);
    let _ = serde_json::from_str::<SettleReply>(text);
    let _ = serde_json::from_str::<EntryStatus>(text);
    let _ = serde_json::from_str::<VersionedDocument>(text);
    let _ = serde_json::from_str::<Targets>(text);
    let _ = Body::parse(text);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn ini_like_files_do_not_panic(text in ini()) {
        parse_files(&text);
    }

    #[test]
    fn arbitrary_files_do_not_panic(text in "\\PC{0,200}") {
        parse_files(&text);
    }

    /// A refused file has at least one fault, and no fault's line lies beyond the end of the file.
    #[test]
    fn a_mutated_file_is_parsed_or_refused_with_faults(text in mutated(TARGETS)) {
        if let Err(faults) = TargetsFile::parse("f", &text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| fault.line <= text.lines().count()));
        }
    }

    #[test]
    fn arbitrary_messages_do_not_panic(text in "\\PC{0,200}") {
        parse_messages(&text);
    }

    #[test]
    fn mutated_messages_do_not_panic(text in mutated(
        r#"{"entry":"e","generation":1,"store":{"age_ms":1,"reachable":true},"quarantine":[]}"#
    )) {
        parse_messages(&text);
    }

    #[test]
    fn arbitrary_manifests_are_refused(buf in prop::collection::vec(any::<u8>(), 0..200)) {
        let digest = blake3::hash(&buf).to_hex();
        prop_assert!(Manifest::verify(&buf, digest.as_str()).is_err());
    }

    #[test]
    fn manifests_of_any_size_with_a_bad_digest_are_refused(
        size in any::<u64>(),
        chunk_size in any::<u64>(),
    ) {
        let text = format!(r#"{{"size":{size},"chunk_size":{chunk_size},"chunks":["00"]}}"#);
        let digest = blake3::hash(text.as_bytes()).to_hex();
        prop_assert!(Manifest::verify(text.as_bytes(), digest.as_str()).is_err());
    }

    #[test]
    fn arbitrary_command_lines_do_not_panic(words in prop::collection::vec("[ -~]{0,12}", 0..6)) {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let _ = <Args as argh::FromArgs>::from_args(&["limpetloom"], &words);
    }
}
