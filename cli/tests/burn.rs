//! The burn report as a table, as JSON and as SVG.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_cli::burn::{format_duration, json, svg, table};
use hickorylink_lib::{
    burn::{Report, Row, RowKey, Source, Tally, Window},
    ids::InstanceId,
};

/// A report of one instance that covers an hour, with one row each of fast, slow and steady burn.
fn report() -> Report {
    let covered = Window::ALL.iter().map(|w| w.span().min(Duration::from_secs(3_600)));
    let source = Source { covered: covered.collect(), untracked: 7 };
    let mut report =
        Report { sources: BTreeMap::from([(InstanceId(1), source)]), ..Report::default() };
    report.add_missing([InstanceId(1), InstanceId(2)]);
    for (customer, bad) in [("steady", 0), ("fast & <loud>", 500), ("slow", 20)] {
        let key = RowKey { service: "folddesk".into(), customer: customer.into() };
        let tally = Tally { good: 1_000 - bad, bad };
        let row = Row {
            good_ppm: 990_000,
            latency: Duration::from_millis(50),
            tallies: vec![tally; Window::ALL.len()],
        };
        report.rows.insert(key, row);
    }
    report
}

#[test]
fn table_lists_the_fastest_burn_first_and_the_gaps_last() {
    let want = "\
SERVICE   CUSTOMER       PACE         5M    1H    6H    3D     BAD (3D)  BUDGET LEFT    RUNS OUT
folddesk  fast & <loud>  FAST BURN  50.0  50.0  50.0  50.0  500 of 1000        30.6%  in 26m 24s
folddesk  slow           SLOW BURN   2.0   2.0   2.0   2.0   20 of 1000        97.2%   in 1d 11h
folddesk  steady         steady      0.0   0.0   0.0   0.0    0 of 1000       100.0%       never

Counted by 1 instance(s).
No report from instance(s) 2.
6h: 1 instance(s) don't cover the whole window; the best covers 17% of it.
3d: 1 instance(s) don't cover the whole window; the best covers 1% of it.
7 request(s) are counted in no row.
";
    assert_eq!(table(&report()), want);
}

#[test]
fn json_contains_rows_windows_and_gaps() {
    struct Case {
        pointer: &'static str,
        want: serde_json::Value,
    }
    let case = |pointer, want| Case { pointer, want };
    let cases = [
        case("/instances", serde_json::json!(["1"])),
        case("/missing_instances", serde_json::json!(["2"])),
        case("/untracked_requests", serde_json::json!(7)),
        case("/coverage/6h/partial_instances", serde_json::json!(["1"])),
        case("/coverage/1h/partial_instances", serde_json::json!([])),
        case("/rows/0/customer", serde_json::json!("fast & <loud>")),
        case("/rows/0/pace", serde_json::json!("fast")),
        case("/rows/0/windows/5m/bad", serde_json::json!(500)),
        case("/rows/1/pace", serde_json::json!("slow")),
        case("/rows/2/exhausted_in_s", serde_json::json!(null)),
        case("/rows/2/windows/3d/burn", serde_json::json!(0.0)),
    ];
    let value = json(&report());
    for case in cases {
        assert_eq!(value.pointer(case.pointer), Some(&case.want), "{}", case.pointer);
    }
}

#[test]
fn svg_has_one_bar_per_row_and_window() {
    let image = svg(&report()).expect("the report can be drawn");
    assert!(image.starts_with("<svg") && image.trim_end().ends_with("</svg>"));
    assert!(image.contains("folddesk / slow"), "rows are labelled");
    assert!(image.contains("fast &amp; &lt;loud&gt;"), "names are escaped");
    let bars = image.matches("fill=\"#1B4F72\"").count();
    assert_eq!(bars, 3, "one bar of the first window per row");
    let empty = svg(&Report::default()).expect("an empty report can be drawn");
    assert!(empty.starts_with("<svg"));
}

#[test]
fn durations_are_formatted_in_two_units() {
    struct Case {
        seconds: u64,
        want: &'static str,
    }
    let cases = [
        Case { seconds: 0, want: "0s" },
        Case { seconds: 59, want: "59s" },
        Case { seconds: 60, want: "1m" },
        Case { seconds: 3_725, want: "1h 2m" },
        Case { seconds: 86_400, want: "1d" },
        Case { seconds: 200_000, want: "2d 7h" },
    ];
    for case in cases {
        assert_eq!(format_duration(Duration::from_secs(case.seconds)), case.want);
    }
}
