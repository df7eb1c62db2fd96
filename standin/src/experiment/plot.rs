//! A picture of latencies under each strategy.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::experiment::outcome::Outcome;

/// The width and the height of the picture, in pixels.
const SIZE: (u32, u32) = (900, 600);
/// Points on a curve.
const POINTS: usize = 200;
/// The part of requests that are slower than the last point.
const LAST_TAIL: f64 = 1e-4;

/// Writes an SVG with a curve for each outcome: the part of requests slower than a latency.
///
/// # Errors
///
/// What the drawing library says if the file can't be written.
pub fn write_svg(
    path: impl AsRef<Path>,
    title: impl AsRef<str>,
    outcomes: &[Outcome],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path.as_ref(), SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..2_000.0).log_scale(), (LAST_TAIL..1.0).log_scale())?;
    chart.configure_mesh().x_desc("latency, ms").y_desc("part of requests slower").draw()?;
    for (at, outcome) in outcomes.iter().enumerate() {
        let color = Palette99::pick(at);
        chart
            .draw_series(LineSeries::new(curve(outcome), color.stroke_width(2)))?
            .label(format!("{:?}", outcome.strategy))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], Palette99::pick(at)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn curve(outcome: &Outcome) -> Vec<(f64, f64)> {
    let point = |at: usize| {
        let tail = LAST_TAIL.powf(at as f64 / POINTS as f64);
        let micros = outcome.latencies.value_at_quantile(1.0 - tail);
        (micros as f64 / 1_000.0, tail)
    };
    (0..=POINTS).map(point).collect()
}
