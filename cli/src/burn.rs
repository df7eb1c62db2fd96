//! Formats a burn report as a table, as JSON or as SVG.
//!
//! Nothing here does I/O.

mod body;
mod svg;
mod table;

use std::time::Duration;

use hickorylink_lib::{
    burn::{Exhaustion, Report, Row, RowKey, Window},
    ids::InstanceId,
};
use serde_json::{Value, json};

pub use self::{
    body::ReportBody,
    svg::{SvgError, svg},
    table::table,
};

/// The report as JSON: the rows, and which instances and time spans they lack.
pub fn json(report: &Report) -> Value {
    let rows: Vec<_> = report.rows.iter().map(|(key, row)| json_row(report, key, row)).collect();
    let coverage: serde_json::Map<_, _> = Window::ALL
        .iter()
        .map(|window| (window.name().to_owned(), json_coverage(report, *window)))
        .collect();
    json!({
        "instances": ids(report.sources.keys().copied()),
        "missing_instances": ids(report.missing.iter().copied()),
        "untracked_requests": report.untracked(),
        "coverage": coverage,
        "rows": rows,
    })
}

fn json_row(report: &Report, key: &RowKey, row: &Row) -> Value {
    let windows: serde_json::Map<_, _> = Window::ALL
        .iter()
        .map(|window| {
            let tally = row.tally(*window);
            let burn = row.burn_rate(*window);
            let value = json!({ "good": tally.good, "bad": tally.bad, "burn": burn });
            (window.name().to_owned(), value)
        })
        .collect();
    let exhausted_in = match report.exhaustion(row) {
        Exhaustion::Never => Value::Null,
        Exhaustion::In(span) => json!(span.as_secs()),
        Exhaustion::Exhausted => json!(0),
    };
    json!({
        "service": key.service.as_str(),
        "customer": key.customer.as_str(),
        "latency_ms": row.latency.as_secs_f64() * 1e3,
        "good_ppm": row.good_ppm,
        "pace": row.pace().name(),
        "budget_left": report.budget_left(row),
        "exhausted_in_s": exhausted_in,
        "windows": windows,
    })
}

fn json_coverage(report: &Report, window: Window) -> Value {
    json!({
        "part": report.coverage(window),
        "partial_instances": ids(report.partial_sources(window)),
    })
}

/// Instance ids as text: as 64-bit numbers they would lose precision in many JSON parsers.
fn ids(ids: impl Iterator<Item = InstanceId>) -> Vec<String> {
    ids.map(|id| id.to_string()).collect()
}

/// A duration in its two largest units.
pub fn format_duration(span: Duration) -> String {
    const UNITS: [(u64, &str); 4] = [(86_400, "d"), (3_600, "h"), (60, "m"), (1, "s")];
    let seconds = span.as_secs();
    let at = UNITS.iter().position(|(unit, _)| seconds >= *unit).unwrap_or(UNITS.len() - 1);
    let (unit, name) = UNITS[at];
    let (whole, rest) = (seconds / unit, seconds % unit);
    match UNITS.get(at + 1) {
        Some((next, next_name)) if rest >= *next => {
            format!("{whole}{name} {}{next_name}", rest / next)
        }
        Some(_) | None => format!("{whole}{name}"),
    }
}
