//! Reads the settings of a process and the targets of operators from INI files.
//!
//! `schema/settings.json` declares the sections and keys; the structs and their readers are
//! generated from it. A file with a fault is rejected as a whole. All its faults are reported
//! together, each with the file, the line, the key, the expected value and a numbered code.

mod check;
mod document;
mod fault;
#[rustfmt::skip]
mod generated;
mod secret;
#[cfg(test)]
mod tests;
pub mod value_type;

use std::fs;
use std::path::Path;

use crate::codes::Code;

pub use document::{Document, SectionView};
pub use fault::{Fault, Faults};
pub use generated::*;
pub use secret::Secret;

/// Declaration of a key.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// Description of a valid value, for fault messages.
    pub expected: &'static str,
    /// Value of an absent key; `None` if the key is required or optional.
    pub default: Option<&'static str>,
    /// Smallest valid value.
    pub min: Option<&'static str>,
    /// Largest valid value.
    pub max: Option<&'static str>,
}

impl Key {
    /// Parses the default value.
    ///
    /// # Panics
    ///
    /// Panics if the schema has no valid default of this type for the key, which a test rules out.
    fn default_value<V: value_type::ValueType>(&self) -> V::Value {
        let text = self.default.expect("invariant: the key has a default");
        V::parse(text).expect("invariant: defaults in the schema are valid")
    }
}

/// A type of file that is parsed from INI text.
pub trait FromIni: check::Check + Sized {
    /// Types of sections that the file may have.
    const SECTIONS: &'static [&'static str];

    /// Reads all sections of a parsed document; `None` if a value is missing or invalid.
    fn read(document: &Document, faults: &mut Faults) -> Option<Self>;

    /// Parses and checks `text`. `file` is the file name for fault messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = Faults::new(file);
        let document = Document::parse(text, &mut faults);
        document.report_unknown_sections(Self::SECTIONS, &mut faults);
        let value = Self::read(&document, &mut faults);
        if let Some(value) = &value {
            value.check(&document, &mut faults);
        }
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(faults),
        }
    }

    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file, or the failure to read it.
    fn load(path: &Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(e) => {
                let mut faults = Faults::new(&file);
                faults.push(0, "", Code::FileUnreadable, &e.to_string());
                Err(faults)
            }
        }
    }
}
