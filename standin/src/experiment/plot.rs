//! A plot of the latency distribution under each strategy.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::experiment::outcome::Outcome;

/// The width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (900, 600);
/// The segments of a curve.
const SEGMENTS: usize = 200;
/// The fraction of slower requests at the last point of a curve.
const MIN_FRACTION: f64 = 1e-4;

/// Writes an SVG file with a curve for each outcome: the fraction of requests that are slower than
/// a latency.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn write_svg(
    path: impl AsRef<Path>,
    title: impl AsRef<str>,
    outcomes: &[Outcome],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path.as_ref(), SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..2_000.0).log_scale(), (MIN_FRACTION..1.0).log_scale())?;
    chart.configure_mesh().x_desc("latency, ms").y_desc("fraction of requests slower").draw()?;
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
        let fraction = MIN_FRACTION.powf(at as f64 / SEGMENTS as f64);
        let micros = outcome.latencies.value_at_quantile(1.0 - fraction);
        (micros as f64 / 1_000.0, fraction)
    };
    (0..=SEGMENTS).map(point).collect()
}
