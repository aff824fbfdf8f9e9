//! Generates Rust code and documentation pages from the files in `schema/`.
//!
//! The generated files are committed, so that building limpetloom does not require this crate. A test
//! fails if a committed file differs from the generator's output.

mod codes;
mod events;
mod messages;
mod settings;

use std::error::Error;
use std::path::Path;

/// A generated file.
pub struct Output {
    /// Path relative to the repository root.
    pub path: &'static str,
    /// Content of the file.
    pub text: String,
}

/// Generates all files from the schema of the repository at `root`.
///
/// # Errors
///
/// Fails if a schema file cannot be read or is invalid.
pub fn generate(root: &Path) -> Result<Vec<Output>, Box<dyn Error>> {
    let schema = root.join("schema");
    let mut outputs = codes::generate(&schema.join("codes.json"))?;
    outputs.extend(events::generate(&schema.join("events.json"))?);
    outputs.extend(settings::generate(&schema.join("settings.json"))?);
    outputs.push(messages::generate(&schema.join("messages.json"))?);
    Ok(outputs)
}

/// Formats Rust source and prepends the header of generated files.
///
/// # Errors
///
/// Fails if `source` is not valid Rust.
pub(crate) fn format_source(source: &str) -> Result<String, Box<dyn Error>> {
    let file = syn::parse_file(source)?;
    Ok(format!(
        "{GENERATED_HEADER}{}",
        prettyplease::unparse(&file)
    ))
}

const GENERATED_HEADER: &str =
    "// Generated from schema/ by `cargo run -p limpetloom-codegen`; edits are lost.\n";
