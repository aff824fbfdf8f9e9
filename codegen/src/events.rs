//! Generates the log events: `src/telemetry/events/generated.rs` and `docs/EVENTS.md`.

use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::Output;

#[derive(Deserialize)]
struct Event {
    number: u16,
    name: String,
    level: String,
    text: String,
    action: String,
}

/// Generates the event enum and its page from the schema file at `path`.
pub(crate) fn generate(path: &Path) -> Result<Vec<Output>, Box<dyn Error>> {
    let mut events: Vec<Event> = serde_json::from_str(&fs::read_to_string(path)?)?;
    events.sort_by_key(|event| event.number);
    Ok(vec![
        Output {
            path: "src/telemetry/events/generated.rs",
            text: rust_source(&events)?,
        },
        Output {
            path: "docs/EVENTS.md",
            text: markdown_page(&events)?,
        },
    ])
}

fn rust_source(events: &[Event]) -> Result<String, Box<dyn Error>> {
    let mut variants = String::new();
    let mut levels = String::new();
    for Event {
        number,
        name,
        level,
        text,
        ..
    } in events
    {
        writeln!(variants, "/// {text}\n{name} = {number},")?;
        writeln!(
            levels,
            "Self::{name} => log::Level::{},",
            level_variant(level)?
        )?;
    }
    crate::format_source(&format!(
        "/// Numbered log event; the catalogue is in `docs/EVENTS.md`.\n\
         #[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]\n\
         #[repr(u16)]\npub enum Event {{ {variants} }}\n\
         impl Event {{ /// Level at which the event is logged.\npub fn level(self) -> log::Level {{ match self {{ {levels} }} }} }}"
    ))
}

fn level_variant(level: &str) -> Result<&'static str, String> {
    match level {
        "error" => Ok("Error"),
        "warn" => Ok("Warn"),
        "info" => Ok("Info"),
        "debug" => Ok("Debug"),
        other => Err(format!("unknown level {other:?}")),
    }
}

fn markdown_page(events: &[Event]) -> Result<String, std::fmt::Error> {
    let mut page = String::from(
        "# Log events\n\nGenerated from `schema/events.json`. Every log line carries its number as `event`.\n\n\
         | event | name | level | meaning | what to do |\n|---|---|---|---|---|\n",
    );
    for Event {
        number,
        name,
        level,
        text,
        action,
    } in events
    {
        writeln!(page, "| {number} | {name} | {level} | {text} | {action} |")?;
    }
    Ok(page)
}
