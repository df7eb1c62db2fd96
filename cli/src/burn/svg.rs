//! The burn report as a bar chart in SVG: burn rates by row and window, with the thresholds of
//! fast and slow burn.

use hickorylink_lib::burn::{FAST_BURN_RATE, Report, Row, RowKey, SLOW_BURN_RATE, Window};
use plotters::{
    chart::{ChartBuilder, ChartContext},
    coord::{Shift, cartesian::Cartesian2d, types::RangedCoordf64},
    drawing::{DrawingArea, DrawingAreaErrorKind, IntoDrawingArea},
    element::{PathElement, Rectangle, Text},
    prelude::SVGBackend,
    style::{BLACK, Color, IntoFont, RED, RGBColor, ShapeStyle, WHITE},
};
use snafu::Snafu;

/// The width of the image, in pixels.
const WIDTH: u32 = 960;

/// The height of a row, and of the title and the axis together, in pixels.
const ROW_HEIGHT: u32 = 64;
const MARGIN_HEIGHT: u32 = 120;

/// The maximum number of rows that are shown; those with the highest burn rates over the last hour.
const MAX_ROWS: usize = 40;

/// The end of the axis; bars of higher burn rates are clipped there.
const MAX_BURN_RATE: f64 = 20.0;

/// The width of the row labels, in pixels.
const LABEL_WIDTH: u32 = 240;

/// The colours of the bars, in the order of [`Window::ALL`].
const COLOURS: [RGBColor; 4] = [
    RGBColor(0x1b, 0x4f, 0x72),
    RGBColor(0x2e, 0x86, 0xc1),
    RGBColor(0x85, 0xc1, 0xe9),
    RGBColor(0xd6, 0xea, 0xf8),
];

/// The report couldn't be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("can't draw the burn report: {message}"))]
pub struct SvgError {
    message: String,
}

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The report as SVG.
///
/// # Errors
///
/// [`SvgError`] if the drawing library fails.
pub fn svg(report: &Report) -> Result<String, SvgError> {
    let mut rows: Vec<_> = report.rows.iter().collect();
    rows.sort_by(|(_, a), (_, b)| b.burn_rate(Window::Hour).total_cmp(&a.burn_rate(Window::Hour)));
    rows.truncate(MAX_ROWS);
    let height = MARGIN_HEIGHT + ROW_HEIGHT * rows.len().max(1) as u32;
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        draw(&area, &rows)
            .and_then(|()| area.present())
            .map_err(|source| SvgError { message: source.to_string() })?;
    }
    Ok(text)
}

fn draw<'b>(
    area: &DrawingArea<SVGBackend<'b>, Shift>,
    rows: &[(&RowKey, &Row)],
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    area.fill(&WHITE)?;
    let count = rows.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("Burn of the error budgets, by window: 5m, 1h, 6h, 3d", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(LABEL_WIDTH)
        .build_cartesian_2d(0.0..MAX_BURN_RATE, 0.0..count)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(0)
        .max_light_lines(1)
        .x_desc("burn rate (1 uses the budget up in three days)")
        .draw()?;
    for (at, (key, row)) in rows.iter().enumerate() {
        let top = count - at as f64;
        draw_row(&mut chart, row, top)?;
        let label = format!("{} / {}", key.service, key.customer);
        let place = chart.plotting_area().map_coordinate(&(0.0, top - 0.4));
        let font = ("sans-serif", 13).into_font();
        area.draw(&Text::new(label, (12, place.1), font))?;
    }
    for limit in [SLOW_BURN_RATE, FAST_BURN_RATE] {
        let line = [(limit, 0.0), (limit, count)];
        chart.draw_series([PathElement::new(line, RED.stroke_width(1))])?;
    }
    Ok(())
}

/// Draws the bars of a row, one per window, downward from `top`.
fn draw_row(
    chart: &mut Chart<'_, '_>,
    row: &Row,
    top: f64,
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    // The height of a bar, as a fraction of the row.
    const BAR_HEIGHT: f64 = 0.2;
    for (at, (window, colour)) in Window::ALL.iter().zip(COLOURS).enumerate() {
        let upper = top - 0.1 - BAR_HEIGHT * at as f64;
        let corners =
            [(0.0, upper), (row.burn_rate(*window).min(MAX_BURN_RATE), upper - BAR_HEIGHT)];
        let outline = ShapeStyle { color: BLACK.mix(0.3), filled: false, stroke_width: 1 };
        chart.draw_series([
            Rectangle::new(corners, colour.filled()),
            Rectangle::new(corners, outline),
        ])?;
    }
    Ok(())
}
