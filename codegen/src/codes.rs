//! Generates the result codes: `src/codes/generated.rs` and `docs/CODES.md`.

use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::Output;

#[derive(Deserialize)]
struct Code {
    number: u16,
    name: String,
    status: u16,
    run: String,
    text: String,
    action: String,
}

/// Generates the code enum and its page from the schema file at `path`.
pub(crate) fn generate(path: &Path) -> Result<Vec<Output>, Box<dyn Error>> {
    let mut codes: Vec<Code> = serde_json::from_str(&fs::read_to_string(path)?)?;
    codes.sort_by_key(|code| code.number);
    Ok(vec![
        Output {
            path: "src/codes/generated.rs",
            text: rust_source(&codes)?,
        },
        Output {
            path: "docs/CODES.md",
            text: markdown_page(&codes)?,
        },
    ])
}

fn rust_source(codes: &[Code]) -> Result<String, Box<dyn Error>> {
    let mut variants = String::new();
    let mut statuses = String::new();
    let mut runs = String::new();
    let mut all = String::new();
    for Code {
        number,
        name,
        status,
        run,
        text,
        ..
    } in codes
    {
        writeln!(variants, "/// {text}\n{name} = {number},")?;
        writeln!(statuses, "Self::{name} => {status},")?;
        writeln!(
            runs,
            "Self::{name} => RunState::{},",
            run_state_variant(run)?
        )?;
        writeln!(all, "Self::{name},")?;
    }
    crate::format_source(&format!(
        "use super::RunState;\n\
         /// Numbered result of an operation; the table is in `docs/CODES.md`.\n\
         #[derive(Clone, Copy, Debug, displaydoc::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]\n\
         #[repr(u16)]\npub enum Code {{ {variants} }}\n\
         impl Code {{\n/// All codes in ascending order of their numbers.\npub const ALL: &[Self] = &[{all}];\n\
         /// HTTP status of a response with this code.\npub fn status(self) -> u16 {{ match self {{ {statuses} }} }}\n\
         /// Whether the request has run.\npub fn run_state(self) -> RunState {{ match self {{ {runs} }} }} }}"
    ))
}

fn run_state_variant(run: &str) -> Result<&'static str, String> {
    match run {
        "not run" => Ok("NotRun"),
        "running" => Ok("Running"),
        "unknown" => Ok("Unknown"),
        other => Err(format!("unknown run state {other:?}")),
    }
}

fn markdown_page(codes: &[Code]) -> Result<String, std::fmt::Error> {
    let mut page = String::from(
        "# Result codes\n\nGenerated from `schema/codes.json`. A refusal carries its code in the body and in the\n\
         header `x-limpetloom-code`. \"Not run\" is certain: no endpoint has received the request.\n\n\
         | code | name | HTTP status | run | meaning | what to do |\n|---|---|---|---|---|---|\n",
    );
    for Code {
        number,
        name,
        status,
        run,
        text,
        action,
    } in codes
    {
        writeln!(
            page,
            "| {number} | {name} | {status} | {run} | {text} | {action} |"
        )?;
    }
    Ok(page)
}
