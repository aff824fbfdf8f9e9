use std::time::Duration;

use rstest::rstest;

use super::value_type::{self, ValueError, ValueType};
use super::*;

const AGENT: &str = "\
[process]
name = agent-1
host = h1
zone = kochi-a
region = kochi
[listen]
traffic = 127.0.0.1:7001
control = 127.0.0.1:7002
[platform]
object_api = http://127.0.0.1:8001
host_list = http://127.0.0.1:8002
weight_store = http://127.0.0.1:8003
origin = http://127.0.0.1:8004
store_region = kochi
[limits]
heartbeat = 0.25 s
[security]
token = 0123456789abcdef
[endpoint engine-1]
target = chat
kind = model
address = 127.0.0.1:9001
idle_power = 0.3 kW
";

#[test]
fn values_are_read_and_absent_keys_get_their_defaults() {
    let cfg = AgentSettings::parse("agent.ini", AGENT).unwrap();
    assert_eq!(&*cfg.process.name, "agent-1");
    assert_eq!(cfg.limits.heartbeat, Duration::from_millis(250));
    assert_eq!(cfg.limits.request_bytes, 4_000_000);
    assert_eq!(cfg.endpoints[0].idle_power, 300_000);
    assert_eq!(cfg.endpoints[0].kind, EndpointKind::Model);
    assert!(!format!("{cfg:?}").contains("0123456789abcdef"));
}

#[rstest]
#[case::unknown_key(
    "heartbeat = 0.25 s",
    "hartbeat = 0.25 s",
    16,
    "limits.hartbeat",
    Code::UnknownKey
)]
#[case::no_unit(
    "heartbeat = 0.25 s",
    "heartbeat = 0.25",
    16,
    "limits.heartbeat",
    Code::WrongUnit
)]
#[case::wrong_unit(
    "heartbeat = 0.25 s",
    "heartbeat = 4 MB",
    16,
    "limits.heartbeat",
    Code::WrongUnit
)]
#[case::out_of_range(
    "heartbeat = 0.25 s",
    "heartbeat = 3 s",
    16,
    "limits.heartbeat",
    Code::OutOfRange
)]
#[case::duplicate_key("zone = kochi-a", "host = h2", 4, "process.host", Code::Duplicate)]
#[case::missing_key(
    "target = chat",
    "; none",
    19,
    "endpoint engine-1.target",
    Code::Missing
)]
#[case::missing_section("[listen]", "; none", 0, "listen.traffic", Code::Missing)]
#[case::bad_value(
    "127.0.0.1:7001",
    "localhost:7001",
    7,
    "listen.traffic",
    Code::BadValue
)]
#[case::bad_choice(
    "kind = model",
    "kind = engine",
    21,
    "endpoint engine-1.kind",
    Code::BadValue
)]
#[case::short_secret("0123456789abcdef", "short", 18, "security.token", Code::OutOfRange)]
#[case::not_ini("region = kochi", "region", 5, "", Code::SyntaxError)]
#[case::colon_separator("region = kochi", "region: kochi", 5, "", Code::SyntaxError)]
#[case::unknown_section("[limits]", "[limit]", 15, "limit", Code::UnknownSection)]
#[case::duplicate_section("[limits]", "[process]", 15, "process", Code::Duplicate)]
#[case::unnamed_endpoint("[endpoint engine-1]", "[endpoint]", 19, "endpoint", Code::Missing)]
#[case::key_before_section("[process]", "", 2, "name", Code::SyntaxError)]
fn fault_has_line_key_and_code(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] line: usize,
    #[case] key: &str,
    #[case] code: Code,
) {
    let text = AGENT.replacen(original, replacement, 1);
    let faults = AgentSettings::parse("agent.ini", &text).unwrap_err();
    let found = faults
        .iter()
        .find(|fault| (fault.line, &*fault.key, fault.code) == (line, key, code));
    assert!(found.is_some(), "{faults}");
}

#[test]
fn all_faults_of_a_file_are_reported() {
    let text = AGENT
        .replace("0.25 s", "0.25")
        .replace("cold", "warm")
        .replace("zone = kochi-a", "zone =");
    let faults = AgentSettings::parse("agent.ini", &text).unwrap_err();
    let codes: Vec<_> = faults.iter().map(|fault| fault.code).collect();
    assert_eq!(codes, [Code::BadValue, Code::WrongUnit]);
}

#[rstest]
#[case("0.89 s", Ok(Duration::from_millis(890)))]
#[case("26ms", Ok(Duration::from_millis(26)))]
#[case("2 min", Ok(Duration::from_secs(120)))]
#[case("s", Err(ValueError::Format))]
#[case("-1 s", Err(ValueError::Format))]
#[case("1 S", Err(ValueError::Unit))]
#[case("0.1 us", Err(ValueError::Range))]
#[case("99999999999999999999 s", Err(ValueError::Format))]
#[case("9999999999999999 h", Err(ValueError::Range))]
#[case("1.2.3 s", Err(ValueError::Format))]
fn durations_are_parsed(#[case] text: &str, #[case] expected: Result<Duration, ValueError>) {
    assert_eq!(value_type::Duration::parse(text), expected);
}

#[test]
fn defaults_in_the_schema_are_valid_and_in_range() {
    let text = "[process]\nname=a\nhost=a\nzone=a\nregion=a\n[security]\ntoken=0123456789abcdef\n";
    let faults = EntrySettings::parse("entry.ini", text).unwrap_err();
    assert!(faults.iter().all(|fault| fault.code == Code::Missing));
    for key in LimitsSettings::KEYS {
        let text = format!("[limits]\n{} = {}\n", key.name, key.default.unwrap());
        let faults = EntrySettings::parse("entry.ini", &text).unwrap_err();
        assert!(
            faults.iter().all(|fault| fault.code == Code::Missing),
            "{faults}"
        );
    }
}
