//! Figures with their targets.

use std::process::ExitCode;

use serde::Serialize;

/// Target of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(dead_code)]
pub enum Target {
    /// The figure is for information only.
    None,
    /// The figure must not exceed the bound.
    AtMost(f64),
    /// The figure must reach the bound.
    AtLeast(f64),
    /// The figure must be the value.
    Exactly(f64),
}

impl Target {
    fn is_met(self, value: f64) -> bool {
        match self {
            Self::None => true,
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
            Self::Exactly(wanted) => value == wanted,
        }
    }

    fn text(self) -> String {
        match self {
            Self::None => "-".into(),
            Self::AtMost(bound) => format!("<={bound}"),
            Self::AtLeast(bound) => format!(">={bound}"),
            Self::Exactly(wanted) => format!("={wanted}"),
        }
    }
}

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Name of the figure.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Stated target.
    pub target: Target,
    /// True when the target is met.
    pub ok: bool,
}

/// Figures of one measurement, in the order in which they were taken.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    name: &'static str,
    figures: Vec<Figure>,
}

impl Report {
    /// An empty report.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            figures: Vec::new(),
        }
    }

    /// Adds a figure.
    #[allow(dead_code)]
    pub fn figure(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        target: Target,
    ) {
        let ok = value.is_finite() && target.is_met(value);
        self.figures.push(Figure {
            name: name.into(),
            value,
            unit,
            target,
            ok,
        });
    }

    /// The figures so far.
    #[allow(dead_code)]
    pub fn figures(&self) -> &[Figure] {
        &self.figures
    }

    /// Prints the figures; fails when one is short of its target.
    pub fn finish(&self, json: bool) -> ExitCode {
        if json {
            println!(
                "{}",
                serde_json::to_string(self).expect("a report is plain data")
            );
        } else {
            self.figures.iter().for_each(print_line);
        }
        match self.figures.iter().all(|figure| figure.ok) {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    }
}

fn print_line(figure: &Figure) {
    let verdict = if figure.ok { "ok" } else { "short" };
    let Figure {
        name,
        value,
        unit,
        target,
        ..
    } = figure;
    println!("{name} {value:.3} {unit} {} {verdict}", target.text());
}
