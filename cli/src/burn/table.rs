//! The burn report as a table for a terminal.

use std::fmt::{self, Write};

use hickorylink_lib::burn::{Exhaustion, Pace, Report, Row, RowKey, Window};

use crate::burn::format_duration;

const HEADINGS: [&str; 10] =
    ["SERVICE", "CUSTOMER", "PACE", "5M", "1H", "6H", "3D", "BAD (3D)", "BUDGET LEFT", "RUNS OUT"];

/// The number of leading columns that hold text; the others hold numbers.
const TEXT_COLUMNS: usize = 3;

/// The report as a table, sorted by pace with the fastest first, then by the burn rate over the last
/// hour, and followed by what it doesn't cover.
pub fn table(report: &Report) -> String {
    let mut rows: Vec<_> = report.rows.iter().collect();
    rows.sort_by(|(_, a), (_, b)| {
        b.pace()
            .cmp(&a.pace())
            .then(b.burn_rate(Window::Hour).total_cmp(&a.burn_rate(Window::Hour)))
    });
    let mut lines = vec![HEADINGS.map(str::to_owned)];
    lines.extend(rows.into_iter().map(|(key, row)| cells(report, key, row)));
    let mut text = String::new();
    // Writing to a `String` can't fail.
    let _ = write_all(&mut text, report, &lines);
    text
}

fn write_all(
    out: &mut impl Write,
    report: &Report,
    lines: &[[String; HEADINGS.len()]],
) -> fmt::Result {
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max();
    let widths: Vec<_> = (0..HEADINGS.len()).map(|at| width(at).unwrap_or(0)).collect();
    for line in lines {
        let mut shown = String::new();
        for (at, (cell, width)) in line.iter().zip(&widths).enumerate() {
            match at < TEXT_COLUMNS {
                true => write!(shown, "{cell:<width$}  ")?,
                false => write!(shown, "{cell:>width$}  ")?,
            }
        }
        writeln!(out, "{}", shown.trim_end())?;
    }
    write_gaps(out, report)
}

fn cells(report: &Report, key: &RowKey, row: &Row) -> [String; HEADINGS.len()] {
    let burn = |window| format!("{:.1}", row.burn_rate(window));
    let tally = row.tally(Window::ThreeDays);
    let runs_out = match report.exhaustion(row) {
        Exhaustion::Never => "never".to_owned(),
        Exhaustion::In(span) => format!("in {}", format_duration(span)),
        Exhaustion::Exhausted => "used up".to_owned(),
    };
    [
        key.service.to_string(),
        key.customer.to_string(),
        match row.pace() {
            Pace::Steady => "steady".to_owned(),
            Pace::Slow => "SLOW BURN".to_owned(),
            Pace::Fast => "FAST BURN".to_owned(),
        },
        burn(Window::FiveMinutes),
        burn(Window::Hour),
        burn(Window::SixHours),
        burn(Window::ThreeDays),
        format!("{} of {}", tally.bad, tally.total()),
        format!("{:.1}%", report.budget_left(row) * 100.0),
        runs_out,
    ]
}

/// Writes which instances, time spans and requests the report doesn't cover.
fn write_gaps(out: &mut impl Write, report: &Report) -> fmt::Result {
    writeln!(out, "\nCounted by {} instance(s).", report.sources.len())?;
    if !report.missing.is_empty() {
        let missing: Vec<_> = report.missing.iter().map(ToString::to_string).collect();
        writeln!(out, "No report from instance(s) {}.", missing.join(", "))?;
    }
    for window in Window::ALL {
        let partial = report.partial_sources(*window).count();
        if partial > 0 {
            let part = report.coverage(*window) * 100.0;
            writeln!(
                out,
                "{window}: {partial} instance(s) don't cover the whole window; the best covers \
                 {part:.0}% of it."
            )?;
        }
    }
    match report.untracked() {
        0 => Ok(()),
        untracked => writeln!(out, "{untracked} request(s) are counted in no row."),
    }
}
