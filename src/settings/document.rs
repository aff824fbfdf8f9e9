//! Parses INI text into sections and keys with their line numbers.

use std::collections::BTreeSet;
use std::sync::Arc;

use ini::{Ini, ParseOption};

use crate::codes::Code;

use super::value_type::{ValueError, ValueType};
use super::{Faults, Key};

/// A parsed INI file.
#[derive(Clone, Debug, Default)]
pub struct Document {
    sections: Vec<Section>,
}

/// A section of a document.
#[derive(Clone, Debug)]
struct Section {
    /// Type of the section: the first word of its header.
    kind: Arc<str>,
    /// Rest of the header; empty if the section has no name.
    name: Arc<str>,
    line: usize,
    entries: Vec<Entry>,
}

/// A key with its value and line.
#[derive(Clone, Debug)]
struct Entry {
    key: Arc<str>,
    value: Arc<str>,
    line: usize,
}

/// Content of a line.
enum Line {
    Header(String),
    Entry(String, String),
    Blank,
}

const PARSE_OPTIONS: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

impl Document {
    /// Parses INI text line by line, so that the line number of each value is known.
    pub fn parse(text: &str, faults: &mut Faults) -> Self {
        let mut document = Self::default();
        for (i, text) in text.lines().enumerate() {
            let line = i + 1;
            match parse_line(text) {
                Some(Line::Header(header)) => document.start_section(&header, line, faults),
                Some(Line::Entry(key, value)) => document.add_key(key, value, line, faults),
                Some(Line::Blank) => {}
                None => faults.push(line, "", Code::SyntaxError, "[section] or key = value"),
            }
        }
        document
    }

    fn start_section(&mut self, header: &str, line: usize, faults: &mut Faults) {
        let (kind, name) = header
            .split_once(char::is_whitespace)
            .unwrap_or((header, ""));
        let section = Section {
            kind: kind.into(),
            name: name.trim().into(),
            line,
            entries: Vec::new(),
        };
        let is_same = |other: &Section| other.kind == section.kind && other.name == section.name;
        if self.sections.iter().any(is_same) {
            faults.push(line, header, Code::Duplicate, "each section once");
        }
        self.sections.push(section);
    }

    fn add_key(&mut self, key: String, value: String, line: usize, faults: &mut Faults) {
        let Some(section) = self.sections.last_mut() else {
            faults.push(
                line,
                &key,
                Code::SyntaxError,
                "a section before the first key",
            );
            return;
        };
        if section.entries.iter().any(|entry| *entry.key == *key) {
            let path = section.path(&key);
            faults.push(line, &path, Code::Duplicate, "each key once");
            return;
        }
        section.entries.push(Entry {
            key: key.into(),
            value: value.into(),
            line,
        });
    }

    /// Adds a fault for each section whose type is not in `known`.
    pub fn report_unknown_sections(&self, known: &[&str], faults: &mut Faults) {
        let unknown = self
            .sections
            .iter()
            .filter(|section| !known.contains(&&*section.kind));
        for section in unknown {
            let expected = format!("one of {}", known.join(", "));
            faults.push(
                section.line,
                &section.header(),
                Code::UnknownSection,
                &expected,
            );
        }
    }

    /// True if the document has a section of this type.
    pub fn has(&self, kind: &str) -> bool {
        self.sections.iter().any(|section| &*section.kind == kind)
    }

    /// Reads a section that appears at most once and has no name; an absent section counts as
    /// empty.
    pub(super) fn read_unnamed_section<T>(
        &self,
        kind: &str,
        faults: &mut Faults,
        read: impl Fn(&SectionView<'_>, &mut Faults) -> Option<T>,
    ) -> Option<T> {
        let section = self.sections.iter().find(|section| &*section.kind == kind);
        if let Some(section) = section.filter(|section| !section.name.is_empty()) {
            let expected = format!("[{kind}] without a name");
            faults.push(section.line, &section.header(), Code::BadValue, &expected);
        }
        read(&SectionView { kind, section }, faults)
    }

    /// Reads all sections of a type whose sections have names.
    pub(super) fn read_named_sections<T>(
        &self,
        kind: &str,
        faults: &mut Faults,
        read: impl Fn(&SectionView<'_>, &mut Faults) -> Option<T>,
    ) -> Option<Vec<T>> {
        let sections: Vec<_> = self
            .sections
            .iter()
            .filter(|section| &*section.kind == kind)
            .collect();
        for section in sections.iter().filter(|section| section.name.is_empty()) {
            let expected = format!("[{kind} NAME]");
            faults.push(section.line, kind, Code::Missing, &expected);
        }
        let values: Vec<_> = sections
            .into_iter()
            .map(Some)
            .map(|section| read(&SectionView { kind, section }, faults))
            .collect();
        values.into_iter().collect()
    }

    /// Line of a key, or of the section's header if the key is absent; 0 if the section is absent.
    pub fn line(&self, kind: &str, name: &str, key: &str) -> usize {
        let section = self
            .sections
            .iter()
            .find(|section| &*section.kind == kind && &*section.name == name);
        section.map_or(0, |section| {
            section.entry(key).map_or(section.line, |entry| entry.line)
        })
    }
}

impl Section {
    fn header(&self) -> String {
        format!("{} {}", self.kind, self.name).trim_end().to_owned()
    }

    fn path(&self, key: &str) -> String {
        format!("{}.{key}", self.header())
    }

    fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| &*entry.key == key)
    }
}

/// Reads the keys of a section; an absent section has no keys.
#[derive(Debug)]
pub struct SectionView<'a> {
    kind: &'a str,
    section: Option<&'a Section>,
}

impl SectionView<'_> {
    /// Name in the section's header; empty if the section is absent.
    pub(super) fn name(&self) -> Arc<str> {
        self.section
            .map_or_else(|| Arc::from(""), |section| section.name.clone())
    }

    /// Adds a fault for each key that is not in `known`.
    pub(super) fn report_unknown_keys(&self, known: &[Key], faults: &mut Faults) {
        let known: BTreeSet<_> = known.iter().map(|key| key.name).collect();
        let entries = self.section.map_or(&[][..], |section| &section.entries);
        for entry in entries.iter().filter(|entry| !known.contains(&*entry.key)) {
            let names: Vec<_> = known.iter().copied().collect();
            let expected = format!("one of {}", names.join(", "));
            faults.push(
                entry.line,
                &self.path(&entry.key),
                Code::UnknownKey,
                &expected,
            );
        }
    }

    /// Reads a key that is required or has a default.
    pub(super) fn read<V: ValueType>(&self, key: &Key, faults: &mut Faults) -> Option<V::Value> {
        match self.entry(key) {
            Some(entry) => self.parse_value::<V>(key, entry, faults),
            None if key.default.is_some() => Some(key.default_value::<V>()),
            None => {
                let line = self.section.map_or(0, |section| section.line);
                faults.push(line, &self.path(key.name), Code::Missing, key.expected);
                None
            }
        }
    }

    /// Reads a key that may be absent.
    pub(super) fn read_optional<V: ValueType>(
        &self,
        key: &Key,
        faults: &mut Faults,
    ) -> Option<Option<V::Value>> {
        match self.entry(key) {
            Some(entry) => self.parse_value::<V>(key, entry, faults).map(Some),
            None => Some(None),
        }
    }

    fn parse_value<V: ValueType>(
        &self,
        key: &Key,
        entry: &Entry,
        faults: &mut Faults,
    ) -> Option<V::Value> {
        let value = V::parse(&entry.value).and_then(|value| check_range::<V>(key, value));
        let fault = match value {
            Ok(value) => return Some(value),
            Err(fault) => fault,
        };
        let code = match fault {
            ValueError::Unit => Code::WrongUnit,
            ValueError::Format => Code::BadValue,
            ValueError::Range => Code::OutOfRange,
        };
        faults.push(
            entry.line,
            &self.path(key.name),
            code,
            &describe_expected(key),
        );
        None
    }

    fn entry(&self, key: &Key) -> Option<&Entry> {
        self.section.and_then(|section| section.entry(key.name))
    }

    fn path(&self, key: &str) -> String {
        self.section.map_or_else(
            || format!("{}.{key}", self.kind),
            |section| section.path(key),
        )
    }
}

fn check_range<V: ValueType>(key: &Key, value: V::Value) -> Result<V::Value, ValueError> {
    let bound = |text: &str| V::parse(text).expect("invariant: bounds in the schema are valid");
    let is_low = key.min.is_some_and(|min| value < bound(min));
    let is_high = key.max.is_some_and(|max| value > bound(max));
    if is_low || is_high {
        return Err(ValueError::Range);
    }
    Ok(value)
}

fn describe_expected(key: &Key) -> String {
    match (key.min, key.max) {
        (Some(min), Some(max)) => format!("{}, from {min} to {max}", key.expected),
        _ => key.expected.to_owned(),
    }
}

/// Parses one line; `None` if it is not valid INI.
fn parse_line(text: &str) -> Option<Line> {
    let ini = Ini::load_from_str_opt(text.trim(), PARSE_OPTIONS).ok()?;
    let mut entries = ini
        .iter()
        .flat_map(|(section, keys)| keys.iter().map(move |(key, value)| (section, key, value)));
    let entry = entries.next();
    let header = ini.sections().flatten().next();
    match (header, entry, entries.next()) {
        (Some(header), None, _) => Some(Line::Header(header.to_owned())),
        (None, Some((_, key, value)), None) if !uses_colon(text) => {
            Some(Line::Entry(key.trim().to_owned(), value.trim().to_owned()))
        }
        (None, None, _) => Some(Line::Blank),
        _ => None,
    }
}

/// True if the line has the form `key: value`. The parser library accepts it; it is rejected here
/// so that there is only one syntax.
fn uses_colon(text: &str) -> bool {
    text.find([':', '='])
        .is_some_and(|at| text[at..].starts_with(':'))
}
