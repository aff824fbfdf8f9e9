//! Measured figures, their targets and how they are printed.

use std::process::ExitCode;

use serde::Serialize;

/// Value or bound that a figure is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(dead_code)]
pub enum Target {
    /// No target: any finite value counts as met.
    None,
    /// The figure must not exceed the bound.
    AtMost(f64),
    /// The figure must not be below the bound.
    AtLeast(f64),
    /// The figure must equal the value.
    Exactly(f64),
}

impl Target {
    fn is_met(self, value: f64) -> bool {
        match self {
            Self::None => true,
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
            Self::Exactly(expected) => value == expected,
        }
    }

    fn text(self) -> String {
        match self {
            Self::None => "-".into(),
            Self::AtMost(bound) => format!("<={bound}"),
            Self::AtLeast(bound) => format!(">={bound}"),
            Self::Exactly(expected) => format!("={expected}"),
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
    /// Target that the value is checked against.
    pub target: Target,
    /// True if the value is finite and meets the target.
    pub ok: bool,
}

/// Figures of one measurement, in the order in which they were recorded.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    name: &'static str,
    figures: Vec<Figure>,
}

impl Report {
    /// Creates a report without figures.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            figures: Vec::new(),
        }
    }

    /// Records a figure and checks it against its target.
    #[allow(dead_code)]
    pub fn record(
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

    /// Figures recorded so far.
    #[allow(dead_code)]
    pub fn figures(&self) -> &[Figure] {
        &self.figures
    }

    /// Prints the figures; the exit code is a failure if any of them misses its target.
    pub fn finish(&self, json: bool) -> ExitCode {
        if json {
            println!(
                "{}",
                serde_json::to_string(self).expect("a report is plain data")
            );
        } else {
            self.figures.iter().for_each(print_figure);
        }
        match self.figures.iter().all(|figure| figure.ok) {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    }
}

fn print_figure(figure: &Figure) {
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
