//! Generates the control messages: `src/wire/generated.rs`.

use std::error::Error;
use std::fs;
use std::path::Path;

use typify::{TypeSpace, TypeSpaceSettings};

use crate::Output;

/// Generates the wire types from the JSON Schema at `path`.
pub(crate) fn generate(path: &Path) -> Result<Output, Box<dyn Error>> {
    let schema: schemars::schema::RootSchema = serde_json::from_str(&fs::read_to_string(path)?)?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into());
    let mut types = TypeSpace::new(&settings);
    types.add_ref_types(schema.definitions)?;
    let source = types.to_stream().to_string();
    let text = strip_schema_copies(&crate::format_source(&source)?);
    Ok(Output {
        path: "src/wire/generated.rs",
        text,
    })
}

/// Removes the copy of the JSON Schema that typify puts into each doc comment.
fn strip_schema_copies(source: &str) -> String {
    let mut text = String::with_capacity(source.len());
    let mut in_schema = false;
    for line in source.lines() {
        in_schema |= line.trim_start().starts_with("/// <details>");
        if !in_schema {
            text.push_str(line);
            text.push('\n');
        }
        in_schema &= !line.trim_start().starts_with("/// </details>");
    }
    text
}
