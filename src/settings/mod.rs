//! Settings of a process and targets of operators, read from INI files.
//!
//! `schema/settings.json` declares sections and keys; the structs and their readers are generated
//! from it. A file with a fault has no effect: all faults are reported together, each with file,
//! line, key, what was expected and a numbered code.

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

/// Declaration of one key.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// What a value looks like.
    pub expected: &'static str,
    /// Value of an absent key; `None` when the key is required or optional.
    pub default: Option<&'static str>,
    /// Least value.
    pub min: Option<&'static str>,
    /// Greatest value.
    pub max: Option<&'static str>,
}

impl Key {
    /// Parses the default.
    ///
    /// # Panics
    ///
    /// Panics when the schema gives no default of this kind, which a test rules out.
    fn default_value<V: value_type::ValueType>(&self) -> V::Value {
        let text = self.default.expect("invariant: the key has a default");
        V::parse(text).expect("invariant: defaults in the schema are valid")
    }
}

/// A file that is read from INI text.
pub trait FromIni: check::Check + Sized {
    /// Sections that the file may have.
    const SECTIONS: &'static [&'static str];

    /// Reads the file from a parsed document; `None` when a fault was found.
    fn read(document: &Document, faults: &mut Faults) -> Option<Self>;

    /// Parses `text`, which was read from `file`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
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
    /// Returns every fault of the file, or that it can not be read.
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
