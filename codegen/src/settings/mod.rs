//! Generates the settings and targets: `src/settings/generated.rs` and `docs/operate/settings.md`.

mod page;
mod source;

use std::error::Error;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::Output;

#[derive(Deserialize)]
struct Schema {
    enums: Vec<Choice>,
    files: Vec<File>,
    sections: Vec<Section>,
}

#[derive(Deserialize)]
struct Choice {
    name: String,
    doc: String,
    values: Vec<ChoiceValue>,
}

#[derive(Deserialize)]
struct ChoiceValue {
    name: String,
    doc: String,
}

#[derive(Deserialize)]
struct File {
    name: String,
    doc: String,
    title: String,
    sections: Vec<String>,
}

#[derive(Deserialize)]
struct Section {
    section: String,
    name: String,
    doc: String,
    /// Name of the field that holds the sections if a file may have several of them. Each of these
    /// sections has a name.
    many: Option<String>,
    keys: Vec<Key>,
}

#[derive(Deserialize)]
struct Key {
    key: String,
    #[serde(rename = "type")]
    value_type: String,
    doc: String,
    default: Option<String>,
    min: Option<String>,
    max: Option<String>,
    #[serde(default)]
    optional: bool,
}

impl Key {
    fn is_required(&self) -> bool {
        !self.optional && self.default.is_none()
    }
}

impl Schema {
    fn section(&self, name: &str) -> Result<&Section, String> {
        self.sections
            .iter()
            .find(|section| section.section == name)
            .ok_or_else(|| format!("unknown section {name:?}"))
    }
}

/// Generates the settings code and its page from the schema file at `path`.
pub(crate) fn generate(path: &Path) -> Result<Vec<Output>, Box<dyn Error>> {
    let schema: Schema = serde_json::from_str(&fs::read_to_string(path)?)?;
    Ok(vec![
        Output {
            path: "src/settings/generated.rs",
            text: source::rust_source(&schema)?,
        },
        Output {
            path: "docs/operate/settings.md",
            text: page::markdown_page(&schema)?,
        },
    ])
}
