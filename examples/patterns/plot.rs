//! Plot of the number of answers on time in each second.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::sim::{Pattern, Summary};

/// Width and height of a panel in pixels.
const PANEL_SIZE: (u32, u32) = (460, 260);
/// Number of panels side by side.
const COLUMNS: usize = 2;

/// Draws one panel per pattern: the answers on time with and without its mitigation, by the second
/// in which their callers arrived.
pub fn draw(path: &Path, results: &[(Pattern, Summary, Summary)]) -> Result<(), Box<dyn Error>> {
    let rows = results.len().div_ceil(COLUMNS);
    let size = (PANEL_SIZE.0 * COLUMNS as u32, PANEL_SIZE.1 * rows as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    for ((pattern, with, without), panel) in results.iter().zip(area.split_evenly((rows, COLUMNS)))
    {
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
        for (label, summary, colour) in [
            ("with mitigation", with, &BLUE),
            ("without mitigation", without, &RED),
        ] {
            let points = summary.on_time_by_second.iter().copied().enumerate();
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
