//! Renders the reference page of settings and targets.

use std::error::Error;
use std::fmt::Write;

use super::{Key, Schema, Section};

const INTRODUCTION: &str = "\
# Settings and targets

Generated from `schema/settings.json`. Files are INI: `[section]` or `[section NAME]`, then
`key = value` lines; a line that starts with `;` or `#` is a comment. Numbers with a unit are
written as `0.89 s`, `26 ms`, `4 MB`, `100 MB/s`, `12 kW`, `350 mJ`; booleans as `yes` and `no`;
lists are separated by commas. `limpetloom check FILE` reports every fault of a file with the file,
the line, the key, the expected value and a numbered code (4001 to 4010); a file with a fault has no
effect.
";

const TABLE_HEADER: &str = "\
| key | type | default | range | meaning |
|---|---|---|---|---|
";

pub(super) fn markdown_page(schema: &Schema) -> Result<String, Box<dyn Error>> {
    let mut page = String::from(INTRODUCTION);
    let mut shown: Vec<&str> = Vec::new();
    for file in &schema.files {
        writeln!(page, "\n## {}", file.title)?;
        let (seen, new): (Vec<&str>, Vec<&str>) = file
            .sections
            .iter()
            .map(String::as_str)
            .partition(|name| shown.contains(name));
        if !seen.is_empty() {
            writeln!(page, "\nSections as above: `{}`.", seen.join("`, `"))?;
        }
        for name in new {
            write_section(&mut page, schema, schema.section(name)?)?;
            shown.push(name);
        }
    }
    Ok(page)
}

fn write_section(page: &mut String, schema: &Schema, section: &Section) -> std::fmt::Result {
    let header = match &section.many {
        Some(_) => format!("[{} NAME]", section.section),
        None => format!("[{}]", section.section),
    };
    writeln!(page, "\n### `{header}`\n\n{}", section.doc)?;
    if section.keys.is_empty() {
        return writeln!(page, "\nNo keys.");
    }
    write!(page, "\n{TABLE_HEADER}")?;
    for key in &section.keys {
        write_row(page, schema, key)?;
    }
    Ok(())
}

fn write_row(page: &mut String, schema: &Schema, key: &Key) -> std::fmt::Result {
    let default = match &key.default {
        Some(text) if text.is_empty() => "empty".to_owned(),
        Some(text) => format!("`{text}`"),
        None if key.optional => "none".to_owned(),
        None => "required".to_owned(),
    };
    let range = match (&key.min, &key.max) {
        (Some(min), Some(max)) => format!("{min} to {max}"),
        _ => String::new(),
    };
    writeln!(
        page,
        "| `{}` | {} | {default} | {range} | {} |",
        key.key,
        type_text(schema, &key.value_type),
        key.doc
    )
}

fn type_text(schema: &Schema, value_type: &str) -> String {
    let choice = schema.enums.iter().find(|choice| choice.name == value_type);
    match choice {
        Some(choice) => {
            let names: Vec<_> = choice.values.iter().map(|value| &*value.name).collect();
            format!("`{}`", names.join("` or `"))
        }
        None => match value_type {
            "address" => "`IP:PORT`".to_owned(),
            "url" => "`http://IP:PORT`".to_owned(),
            "rank" => "count".to_owned(),
            other => other.to_owned(),
        },
    }
}
