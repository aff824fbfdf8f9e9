//! Output of commands as text or JSON.

use std::io::{self, Write};

use serde::Serialize;
use serde_json::{Value, json};

use crate::config::Difference;

use super::Failure;

/// Prints the result of a command.
pub struct Output {
    out: Box<dyn Write + Send>,
    err: Box<dyn Write + Send>,
    json: bool,
    colour: bool,
}

/// Colour of a word on a terminal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Colour {
    /// As desired.
    Green,
    /// Temporary, or worth attention.
    Yellow,
    /// A problem.
    Red,
}

impl Output {
    /// Creates an output that prints to `out`: JSON if `json` is set, otherwise text, in colour if
    /// `colour` is set. In text mode, failures go to `err`.
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

    /// True if the output is JSON.
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Prints a line in text mode; does nothing in JSON mode.
    pub fn print_line(&mut self, text: impl AsRef<str>) {
        if !self.json {
            self.write(text.as_ref());
        }
    }

    /// Prints a value in JSON mode; does nothing in text mode.
    pub fn print_json(&mut self, value: &impl Serialize) {
        if self.json {
            let text = serde_json::to_string(value);
            self.write(&text.unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}")));
        }
    }

    /// Prints one line per difference in text mode.
    pub fn print_differences(&mut self, differences: &[Difference]) {
        for difference in differences {
            self.print_line(difference.to_string());
        }
    }

    /// Wraps text in the escape codes of a colour if the output is coloured.
    pub fn colourize(&self, text: &str, colour: Colour) -> String {
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

    /// Clears the terminal if the output is coloured.
    pub fn clear_terminal(&mut self) {
        if self.colour {
            self.write("\x1b[2J\x1b[H");
        }
    }

    /// Prints a failure: as JSON to the output, or as text to standard error.
    pub fn print_failure(&mut self, failure: &Failure) {
        let code = failure.code();
        self.print_json(&json!({
            "error": failure.to_string(),
            "code": code.number(),
            "name": format!("{code:?}"),
            "detail": failure_detail(failure),
        }));
        if !self.json {
            // There is nowhere left to report that standard error is closed.
            let _ = self.print_failure_text(failure);
        }
    }

    fn print_failure_text(&mut self, failure: &Failure) -> io::Result<()> {
        match failure {
            Failure::File(_) => writeln!(self.err, "{failure}")?,
            _ => writeln!(self.err, "{failure} ({})", failure.code().number())?,
        }
        let Failure::RaceLost { theirs, ours, .. } = failure else {
            return Ok(());
        };
        writeln!(self.err, "changes made by the other operator:")?;
        for difference in theirs {
            writeln!(self.err, "{difference}")?;
        }
        writeln!(
            self.err,
            "changes that this command would still make on top of them:"
        )?;
        for difference in ours {
            writeln!(self.err, "{difference}")?;
        }
        Ok(())
    }

    fn write(&mut self, text: &str) {
        // The write fails if the reader closed the pipe; further output is then not wanted.
        let _ = writeln!(self.out, "{text}");
    }
}

fn failure_detail(failure: &Failure) -> Value {
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
