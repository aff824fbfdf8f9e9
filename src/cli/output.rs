//! Where commands print to.

use std::io::{self, Write};

use serde::Serialize;
use serde_json::{Value, json};

use crate::config::Difference;

use super::Failure;

/// Printer of a command's result.
pub struct Output {
    out: Box<dyn Write + Send>,
    err: Box<dyn Write + Send>,
    json: bool,
    colour: bool,
}

/// Colour of a word on a terminal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Colour {
    /// As it should be.
    Green,
    /// Worth a look.
    Yellow,
    /// At fault.
    Red,
}

impl Output {
    /// Prints to `out`, as JSON for scripts or as text, with colour on a terminal only. Failures
    /// go to `err` as text.
    pub fn new(
        out: impl Write + Send + 'static,
        err: impl Write + Send + 'static,
        json: bool,
        colour: bool,
    ) -> Self {
        Self {
            out: Box::new(out),
            err: Box::new(err),
            json,
            colour: colour && !json,
        }
    }

    /// True when scripts read the output.
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Prints a line of text; nothing when scripts read.
    pub fn line(&mut self, text: impl AsRef<str>) {
        if !self.json {
            self.write(text.as_ref());
        }
    }

    /// Prints a value for scripts; nothing when people read.
    pub fn value(&mut self, value: &impl Serialize) {
        if self.json {
            let text = serde_json::to_string(value);
            self.write(&text.unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}")));
        }
    }

    /// Prints differences as lines.
    pub fn differences(&mut self, differences: &[Difference]) {
        for difference in differences {
            self.line(difference.to_string());
        }
    }

    /// Wraps text in a colour, on a terminal.
    pub fn paint(&self, text: &str, colour: Colour) -> String {
        if !self.colour {
            return text.to_owned();
        }
        let number = match colour {
            Colour::Green => 32,
            Colour::Yellow => 33,
            Colour::Red => 31,
        };
        format!("\x1b[{number}m{text}\x1b[0m")
    }

    /// Clears a terminal.
    pub fn clear(&mut self) {
        if self.colour {
            self.write("\x1b[2J\x1b[H");
        }
    }

    /// Prints why a command failed.
    pub fn failure(&mut self, failure: &Failure) {
        let code = failure.code();
        self.value(&json!({
            "error": failure.to_string(),
            "code": code.number(),
            "name": format!("{code:?}"),
            "detail": detail(failure),
        }));
        if !self.json {
            // Nobody reads a closed standard error.
            let _ = self.explain(failure);
        }
    }

    fn explain(&mut self, failure: &Failure) -> io::Result<()> {
        match failure {
            Failure::File(_) => writeln!(self.err, "{failure}")?,
            _ => writeln!(self.err, "{failure} ({})", failure.code().number())?,
        }
        let Failure::RaceLost { theirs, ours, .. } = failure else {
            return Ok(());
        };
        writeln!(self.err, "changed by the other operator:")?;
        for difference in theirs {
            writeln!(self.err, "{difference}")?;
        }
        writeln!(self.err, "this change on top of it:")?;
        for difference in ours {
            writeln!(self.err, "{difference}")?;
        }
        Ok(())
    }

    fn write(&mut self, text: &str) {
        // A reader that has closed its end wants no more output.
        let _ = writeln!(self.out, "{text}");
    }
}

fn detail(failure: &Failure) -> Value {
    match failure {
        Failure::File(faults) => json!(faults),
        Failure::RaceLost {
            generation,
            theirs,
            ours,
        } => json!({"generation": generation, "theirs": theirs, "ours": ours}),
        _ => Value::Null,
    }
}
