//! SVG plots of counts over time.

use std::collections::BTreeMap;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, SeriesLabelPosition, WHITE,
};

use super::second::Second;

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 320);
const MARGIN: u32 = 12;
const LABEL_AREA_SIZE: u32 = 48;
const STROKE_WIDTH: u32 = 2;
const LEGEND_LINE_WIDTH: i32 = 16;

/// A data series of a plot: its label, and the function that returns its value in a second.
pub(super) type Series = (&'static str, fn(&Second) -> u64);

/// Draws counts over time as SVG; seconds without a log line count as zero.
///
/// # Errors
///
/// Returns the error of the drawing library.
pub(super) fn plot(
    title: &str,
    seconds: &BTreeMap<u64, Second>,
    series: &[Series],
) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, title, seconds, series).map_err(|e| e.to_string())?;
    Ok(svg)
}

type DrawError = Box<dyn std::error::Error>;

fn draw(
    svg: &mut String,
    title: &str,
    seconds: &BTreeMap<u64, Second>,
    series: &[Series],
) -> Result<(), DrawError> {
    let first = seconds.keys().next().copied().unwrap_or(0);
    let last = seconds.keys().next_back().copied().unwrap_or(first);
    let counts = seconds.values().flat_map(|second| series.iter().map(|(_, count)| count(second)));
    let max_count = counts.max().unwrap_or(0).max(1);

    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA_SIZE)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(first..last.max(first + 1), 0..max_count)?;
    chart.configure_mesh().x_desc("Unix time, s").y_desc("a second").draw()?;
    for (i, (name, count)) in series.iter().enumerate() {
        let color = Palette99::pick(i);
        let points = (first..=last).map(|at| (at, seconds.get(&at).map_or(0, count)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(STROKE_WIDTH)))?
            .label(*name)
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + LEGEND_LINE_WIDTH, y)], Palette99::pick(i))
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
