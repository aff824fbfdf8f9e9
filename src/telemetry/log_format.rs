//! Formats of log lines.

use std::io::{self, Write};

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde::Serialize;

/// Key of the event number.
const EVENT_KEY: &str = "event";

/// JSON form of a log line.
#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    event: Option<u64>,
    module: Option<&'a str>,
    text: String,
    #[serde(flatten)]
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Collects the named fields of a record, except the event number.
#[derive(Default)]
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if key.as_str() != EVENT_KEY {
            let value = serde_json::to_value(&value).map_err(Error::boxed)?;
            self.0.insert(key.as_str().to_owned(), value);
        }
        Ok(())
    }
}

/// Writes a record as plain text.
pub(super) fn human(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let event = event_number(record)
        .map(|number| format!(" [{number}]"))
        .unwrap_or_default();
    write!(
        out,
        "{} {:5}{event} {}",
        format_time(now),
        record.level(),
        record.args()
    )
}

/// Writes a record as one JSON object.
pub(super) fn json(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let mut fields = Fields::default();
    // After a field that cannot be converted to JSON, the remaining fields are omitted; the line is
    // written nevertheless.
    let _ = record.key_values().visit(&mut fields);
    let line = JsonLine {
        time: format_time(now),
        level: record.level().as_str(),
        event: event_number(record),
        module: record.module_path(),
        text: record.args().to_string(),
        fields: fields.0,
    };
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}

fn format_time(now: &mut DeferredNow) -> String {
    now.format_rfc3339().to_string()
}

fn event_number(record: &Record) -> Option<u64> {
    record
        .key_values()
        .get(Key::from(EVENT_KEY))
        .and_then(|value| value.to_u64())
}
