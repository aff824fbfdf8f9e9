use crate::config::*;
use crate::settings::{FromIni, TargetsFile};

const TARGETS: &str = "\
[site]
power = 12 kW
[zones]
names = a, b
[class chat]
target = llama
first_token = 0.89 s
power = 8 kW
[class seats]
target = booking
first_token = 300 ms
power = 0 W
keyed = yes
[customer studio]
weight = 3
[model llama]
version = v1
[service booking]
";

fn targets(text: &str, current: Option<&Targets>) -> Targets {
    let file = TargetsFile::parse("targets.ini", text).unwrap();
    Declaration::from(file).resolve(vec!["digest".into()], current)
}

#[test]
fn body_parses_back_from_its_value() {
    let body = Body::new("w1".into(), targets(TARGETS, None), None);
    let parsed = Body::parse(&body.to_value()).unwrap();
    assert_eq!(parsed, body);
    let parsed_targets: Targets = serde_json::from_str(&body.to_value()).unwrap();
    assert_eq!(parsed_targets, body.targets);
}

#[test]
fn body_lists_its_last_writers() {
    let mut body = Body::new("w0".into(), Targets::default(), None);
    for i in 1..20 {
        body = Body::new(format!("w{i}").into(), Targets::default(), Some(&body));
    }
    assert_eq!(body.writers.len(), Body::MAX_WRITERS);
    assert_eq!(&*body.writers[0], "w19");
}

#[test]
fn zones_stay_out_unless_the_file_declares_them() {
    let mut current = targets(TARGETS, None);
    current.zones_out.insert("b".into());
    assert_eq!(
        targets(TARGETS, Some(&current)).zones_out,
        current.zones_out
    );
    let declared = TARGETS.replace("names = a, b", "names = a, b\nout =");
    assert!(targets(&declared, Some(&current)).zones_out.is_empty());
}

#[test]
fn differences_use_the_keys_of_the_file() {
    let old = targets(TARGETS, None);
    let new = TARGETS
        .replace("0.89 s", "1.5 s")
        .replace("[customer studio]", "[customer school]");
    let shown: Vec<String> = differences(&old, &targets(&new, None))
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "~ class chat.first_token = 890 ms -> 1500 ms",
        "+ customer school.weight = 3",
        "- customer studio.weight = 3",
    ];
    assert_eq!(shown, expected);
}
