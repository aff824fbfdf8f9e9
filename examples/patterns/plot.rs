//! Plot of answers on time by second.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::sim::{Pattern, Summary};

/// Width and height of one panel in pixels.
const PANEL: (u32, u32) = (460, 260);
/// Panels side by side.
const COLUMNS: usize = 2;

/// Draws a panel for each pattern: answers on time with and without what answers it.
pub fn draw(path: &Path, plays: &[(Pattern, Summary, Summary)]) -> Result<(), Box<dyn Error>> {
    let rows = plays.len().div_ceil(COLUMNS);
    let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * rows as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    for ((pattern, with, without), panel) in plays.iter().zip(area.split_evenly((rows, COLUMNS))) {
        let top = with
            .on_time_by_second
            .iter()
            .chain(&without.on_time_by_second)
            .max();
        let top = top.copied().unwrap_or(1);
        let mut chart = ChartBuilder::on(&panel)
            .caption(pattern.name(), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(40)
            .build_cartesian_2d(0..with.on_time_by_second.len(), 0..top + top / 10)?;
        chart
            .configure_mesh()
            .x_desc("second")
            .y_desc("answers on time")
            .draw()?;
        for (label, tally, colour) in [("with", with, &BLUE), ("without", without, &RED)] {
            let points = tally.on_time_by_second.iter().copied().enumerate();
            chart
                .draw_series(LineSeries::new(points, colour))?
                .label(label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
    }
    area.present()?;
    Ok(())
}
