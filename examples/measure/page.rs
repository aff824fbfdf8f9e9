//! Writes one HTML page with plots of the figures of all measurements. The page uses no external
//! resources, so that it can be viewed offline.
//!
//! Reads the output of `measure NAME --json > target/measure/NAME.json`; a measurement without such
//! a file is shown as not run.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;

use crate::report::{Report, Target};

/// Directory of the JSON files and of the page.
const DIRECTORY: &str = "target/measure";
/// In the order of the page.
const SHOWN_MEASUREMENTS: [&str; 9] = [
    "weights", "zones", "burst", "routing", "fairness", "overhead", "once", "config", "control",
];
const WIDTH: u32 = 820;
const ROW_HEIGHT: u32 = 26;
const MARGIN_HEIGHT: u32 = 90;

type BoxError = Box<dyn Error + Send + Sync>;

/// The part of a measurement's JSON output that is shown.
#[derive(Deserialize)]
struct ReportFile {
    figures: Vec<Figure>,
}

#[derive(Deserialize)]
struct Figure {
    name: String,
    /// `None` for a value that is infinite or not a number, which JSON writes as null.
    value: Option<f64>,
    unit: String,
    target: serde_json::Value,
    ok: bool,
}

pub fn run() -> Report {
    let mut report = Report::new("report");
    if let Err(e) = write_page(&mut report) {
        report.record(format!("failed: {e}"), f64::NAN, "-", Target::None);
    }
    report
}

fn write_page(report: &mut Report) -> Result<(), BoxError> {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>limpetloom measurements</title>\n\
         <h1>limpetloom measurements</h1>\n<p>Green: met, or no target. Red: missed.</p>\n",
    );
    let mut shown = 0;
    for name in SHOWN_MEASUREMENTS {
        writeln!(page, "<h2>{name}</h2>")?;
        let path = Path::new(DIRECTORY).join(format!("{name}.json"));
        match fs::read_to_string(&path) {
            Ok(text) => {
                add_plots(&mut page, &serde_json::from_str(&text)?)?;
                shown += 1;
            }
            Err(_) => writeln!(page, "<p>Not run.</p>")?,
        }
    }
    fs::create_dir_all(DIRECTORY)?;
    fs::write(Path::new(DIRECTORY).join("report.html"), page)?;
    report.record(
        "measurements_shown",
        f64::from(shown),
        "measurements",
        Target::None,
    );
    Ok(())
}

/// Adds one plot for each unit, so that the bars of a plot are comparable.
fn add_plots(page: &mut String, file: &ReportFile) -> Result<(), BoxError> {
    let mut units: BTreeMap<&str, Vec<&Figure>> = BTreeMap::new();
    for figure in &file.figures {
        units.entry(&figure.unit).or_default().push(figure);
    }
    for (unit, figures) in units {
        page.push_str(&bar_chart(unit, &figures)?);
    }
    Ok(())
}

/// SVG image with a horizontal bar for each figure.
fn bar_chart(unit: &str, figures: &[&Figure]) -> Result<String, BoxError> {
    let mut svg = String::new();
    let rows = figures.len();
    let value = |figure: &Figure| figure.value.unwrap_or(0.0).max(0.0);
    let max_value = figures.iter().map(|f| value(f)).fold(0.0, f64::max);
    let height = MARGIN_HEIGHT + ROW_HEIGHT * rows as u32;
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(unit, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(8)
            .build_cartesian_2d(
                0.0..max_value.max(f64::MIN_POSITIVE) * 1.02,
                0.0..rows as f64,
            )?;
        chart.configure_mesh().disable_y_mesh().y_labels(0).draw()?;
        for (row, figure) in figures.iter().enumerate() {
            let colour = if figure.ok {
                GREEN.mix(0.4)
            } else {
                RED.mix(0.5)
            };
            let (top, bottom) = ((rows - row) as f64 - 0.1, (rows - row) as f64 - 0.9);
            let bar = Rectangle::new([(0.0, bottom), (value(figure), top)], colour.filled());
            let label = Text::new(label(figure), (0.0, top - 0.15), ("sans-serif", 13));
            chart.draw_series([bar])?;
            chart.draw_series([label])?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// Name, value and target of a figure, as written on its bar.
fn label(figure: &Figure) -> String {
    let value = figure
        .value
        .map_or("no value".to_owned(), |value| format!("{value:.3}"));
    let target = figure
        .target
        .as_object()
        .and_then(|target| target.iter().next());
    match target {
        Some((kind, bound)) => format!("{} = {value} ({kind} {bound})", figure.name),
        None => format!("{} = {value}", figure.name),
    }
}
