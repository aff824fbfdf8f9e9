//! INI text as sections and keys with their lines.

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

/// A section, or the keys before the first one.
#[derive(Clone, Debug)]
struct Section {
    /// First word of the head.
    kind: Arc<str>,
    /// Rest of the head.
    name: Arc<str>,
    line: usize,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    key: Arc<str>,
    value: Arc<str>,
    line: usize,
}

/// What one line holds.
enum Line {
    Head(String),
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
    /// Parses INI text line by line, so that each value keeps its line.
    pub fn parse(text: &str, faults: &mut Faults) -> Self {
        let mut document = Self::default();
        for (i, text) in text.lines().enumerate() {
            let line = i + 1;
            match parse_line(text) {
                Some(Line::Head(head)) => document.start_section(&head, line, faults),
                Some(Line::Entry(key, value)) => document.add(key, value, line, faults),
                Some(Line::Blank) => {}
                None => faults.push(line, "", Code::SyntaxError, "[section] or key = value"),
            }
        }
        document
    }

    fn start_section(&mut self, head: &str, line: usize, faults: &mut Faults) {
        let (kind, name) = head.split_once(char::is_whitespace).unwrap_or((head, ""));
        let section = Section {
            kind: kind.into(),
            name: name.trim().into(),
            line,
            entries: Vec::new(),
        };
        let is_same = |other: &Section| other.kind == section.kind && other.name == section.name;
        if self.sections.iter().any(is_same) {
            faults.push(line, head, Code::Duplicate, "each section once");
        }
        self.sections.push(section);
    }

    fn add(&mut self, key: String, value: String, line: usize, faults: &mut Faults) {
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

    /// Reports sections whose kind is not among `known`.
    pub fn report_unknown_sections(&self, known: &[&str], faults: &mut Faults) {
        let unknown = self
            .sections
            .iter()
            .filter(|section| !known.contains(&&*section.kind));
        for section in unknown {
            let expected = format!("one of {}", known.join(", "));
            faults.push(
                section.line,
                &section.head(),
                Code::UnknownSection,
                &expected,
            );
        }
    }

    /// True when the document has a section of this kind.
    pub fn has(&self, kind: &str) -> bool {
        self.sections.iter().any(|section| &*section.kind == kind)
    }

    /// Reads the section that stands once and has no name; an absent one counts as empty.
    pub(super) fn single<T>(
        &self,
        kind: &str,
        faults: &mut Faults,
        read: impl Fn(&SectionView<'_>, &mut Faults) -> Option<T>,
    ) -> Option<T> {
        let section = self.sections.iter().find(|section| &*section.kind == kind);
        if let Some(section) = section.filter(|section| !section.name.is_empty()) {
            let expected = format!("[{kind}] without a name");
            faults.push(section.line, &section.head(), Code::BadValue, &expected);
        }
        read(&SectionView { kind, section }, faults)
    }

    /// Reads every section of a kind that has names.
    pub(super) fn many<T>(
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

    /// Line of a key, or of its section's head where the key is absent; 0 without the section.
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
    fn head(&self) -> String {
        format!("{} {}", self.kind, self.name).trim_end().to_owned()
    }

    fn path(&self, key: &str) -> String {
        format!("{}.{key}", self.head())
    }

    fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| &*entry.key == key)
    }
}

/// A section that is being read; an absent one has no keys.
#[derive(Debug)]
pub struct SectionView<'a> {
    kind: &'a str,
    section: Option<&'a Section>,
}

impl SectionView<'_> {
    /// Name, from the section's head.
    pub(super) fn name(&self) -> Arc<str> {
        self.section
            .map_or_else(|| Arc::from(""), |section| section.name.clone())
    }

    /// Reports keys that are not among `known`.
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
            Some(entry) => self.value::<V>(key, entry, faults),
            None if key.default.is_some() => Some(key.default_value::<V>()),
            None => {
                let line = self.section.map_or(0, |section| section.line);
                faults.push(line, &self.path(key.name), Code::Missing, key.expected);
                None
            }
        }
    }

    /// Reads a key that may be absent.
    pub(super) fn optional<V: ValueType>(
        &self,
        key: &Key,
        faults: &mut Faults,
    ) -> Option<Option<V::Value>> {
        match self.entry(key) {
            Some(entry) => self.value::<V>(key, entry, faults).map(Some),
            None => Some(None),
        }
    }

    fn value<V: ValueType>(
        &self,
        key: &Key,
        entry: &Entry,
        faults: &mut Faults,
    ) -> Option<V::Value> {
        let value = V::parse(&entry.value).and_then(|value| in_range::<V>(key, value));
        let fault = match value {
            Ok(value) => return Some(value),
            Err(fault) => fault,
        };
        let code = match fault {
            ValueError::Unit => Code::WrongUnit,
            ValueError::Format => Code::BadValue,
            ValueError::Range => Code::OutOfRange,
        };
        faults.push(entry.line, &self.path(key.name), code, &expected(key));
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

fn in_range<V: ValueType>(key: &Key, value: V::Value) -> Result<V::Value, ValueError> {
    let bound = |text: &str| V::parse(text).expect("invariant: bounds in the schema are valid");
    let is_low = key.min.is_some_and(|min| value < bound(min));
    let is_high = key.max.is_some_and(|max| value > bound(max));
    if is_low || is_high {
        return Err(ValueError::Range);
    }
    Ok(value)
}

fn expected(key: &Key) -> String {
    match (key.min, key.max) {
        (Some(min), Some(max)) => format!("{}, from {min} to {max}", key.expected),
        _ => key.expected.to_owned(),
    }
}

/// Parses one line; `None` when it is not INI.
fn parse_line(text: &str) -> Option<Line> {
    let ini = Ini::load_from_str_opt(text.trim(), PARSE_OPTIONS).ok()?;
    let mut entries = ini
        .iter()
        .flat_map(|(section, keys)| keys.iter().map(move |(key, value)| (section, key, value)));
    let entry = entries.next();
    let head = ini.sections().flatten().next();
    match (head, entry, entries.next()) {
        (Some(head), None, _) => Some(Line::Head(head.to_owned())),
        (None, Some((_, key, value)), None) if !uses_colon(text) => {
            Some(Line::Entry(key.trim().to_owned(), value.trim().to_owned()))
        }
        (None, None, _) => Some(Line::Blank),
        _ => None,
    }
}

/// The library takes `key: value` too, which would be a second way to write the same.
fn uses_colon(text: &str) -> bool {
    text.find([':', '='])
        .is_some_and(|at| text[at..].starts_with(':'))
}
