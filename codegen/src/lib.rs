//! Generator for the code and pages that are made from `schema/`.
//!
//! The output is committed, so that a build needs no generator. A test fails when a committed file
//! differs from what the schema gives.

mod codes;
mod events;
mod messages;
mod settings;

use std::error::Error;
use std::path::Path;

/// A generated file.
pub struct Output {
    /// Path below the root of the repository.
    pub path: &'static str,
    /// Whole content of the file.
    pub text: String,
}

/// Generates every file from the schema below `root`.
///
/// # Errors
///
/// Fails when a schema file can not be read or parsed.
pub fn outputs(root: &Path) -> Result<Vec<Output>, Box<dyn Error>> {
    let schema = root.join("schema");
    let mut outputs = codes::outputs(&schema.join("codes.json"))?;
    outputs.extend(events::outputs(&schema.join("events.json"))?);
    outputs.extend(settings::outputs(&schema.join("settings.json"))?);
    outputs.push(messages::output(&schema.join("messages.json"))?);
    Ok(outputs)
}

/// Formats Rust source.
///
/// # Errors
///
/// Fails when `source` is not valid Rust.
pub(crate) fn format_source(source: &str) -> Result<String, Box<dyn Error>> {
    let file = syn::parse_file(source)?;
    Ok(format!(
        "{GENERATED_HEADER}{}",
        prettyplease::unparse(&file)
    ))
}

const GENERATED_HEADER: &str =
    "// Generated from schema/ by `cargo run -p limpetloom-codegen`; edits are lost.\n";
