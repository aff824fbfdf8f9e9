//! Errors found in a settings or targets file, called faults.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::codes::Code;

/// An error in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line number, starting at 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// Section and key, as `section.key` or `section NAME.key`.
    pub key: Arc<str>,
    /// Kind of error, as a numbered code.
    pub code: Code,
    /// Description of the expected value.
    pub expected: Arc<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            code,
            expected,
        } = self;
        let number = code.number();
        write!(
            f,
            "{file}:{line}: {key}: {code} ({number}); expected {expected}"
        )
    }
}

/// JSON form of a fault, for scripts.
#[derive(Serialize)]
struct FaultJson<'a> {
    file: &'a str,
    line: usize,
    key: &'a str,
    /// Number of the code.
    code: u16,
    /// Name of the code, such as `OutOfRange`.
    name: String,
    /// Text of the code.
    message: String,
    expected: &'a str,
}

impl<'a> From<&'a Fault> for FaultJson<'a> {
    fn from(fault: &'a Fault) -> Self {
        Self {
            file: &fault.file,
            line: fault.line,
            key: &fault.key,
            code: fault.code.number(),
            name: format!("{:?}", fault.code),
            message: fault.code.to_string(),
            expected: &fault.expected,
        }
    }
}

impl Serialize for Fault {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        FaultJson::from(self).serialize(serializer)
    }
}

/// All faults of a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Faults {
    #[serde(skip)]
    file: Arc<str>,
    /// Invariant: sorted by line; faults of the same line keep the order in which they were added.
    faults: Vec<Fault>,
}

impl Faults {
    /// Creates an empty list for the file with this name.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            faults: Vec::new(),
        }
    }

    /// Adds a fault after those of the same or an earlier line.
    pub fn push(&mut self, line: usize, key: &str, code: Code, expected: &str) {
        let at = self.faults.partition_point(|fault| fault.line <= line);
        let fault = Fault {
            file: self.file.clone(),
            line,
            key: key.into(),
            code,
            expected: expected.into(),
        };
        self.faults.insert(at, fault);
    }

    /// Iterates over the faults in the order of their lines.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter()
    }

    /// True if the file has no faults.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl Error for Faults {}
