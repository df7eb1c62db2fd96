//! Lists and settings files with odd values: deep nesting, and numbers out of range.

use hickorylink_lib::{
    finding::Findings,
    lists::{parse_plans, parse_usage},
    settings::Settings,
};

/// Reads a text as each kind of file, and returns the findings of each.
fn read(text: &str) -> [(&'static str, Option<Findings>); 3] {
    [
        ("plans", parse_plans("odd.jsonc", text).err()),
        ("usage", parse_usage("odd.jsonc", text).err()),
        ("settings", Settings::parse("odd.jsonc", text).err()),
    ]
}

/// Guards against files that end the process that reads them.
#[test]
fn odd_files_are_refused_with_a_place() {
    struct Case {
        name: &'static str,
        text: String,
    }
    const DEPTH: usize = 100_000;
    let nested = |open: &str, close: &str, depth: usize| open.repeat(depth) + &close.repeat(depth);
    let in_field = |value: &str| format!("{{\n  \"version\": {value}\n}}");
    let cases = [
        Case { name: "nested arrays", text: nested("[", "]", DEPTH) },
        Case { name: "nested objects", text: nested("{\"a\":", "}", DEPTH) },
        Case { name: "open brackets", text: "[".repeat(DEPTH) },
        Case { name: "a nested field", text: in_field(&nested("[", "]", DEPTH)) },
        Case { name: "a field nested up to the limit", text: in_field(&nested("[", "]", 500)) },
        Case { name: "nested comments", text: nested("/*", "*/", DEPTH) },
        Case { name: "an open comment", text: "/*".to_owned() },
        Case { name: "1e400", text: in_field("1e400") },
        Case { name: "2^64", text: in_field("18446744073709551616") },
        Case { name: "a fraction", text: in_field("1.5") },
        Case { name: "a negative number", text: in_field("-1") },
        Case { name: "a long number", text: in_field(&"9".repeat(DEPTH)) },
        Case { name: "half a surrogate", text: in_field(r#""\ud800""#) },
        Case { name: "nothing", text: String::new() },
    ];
    for case in cases {
        for (kind, findings) in read(&case.text) {
            let Some(findings) = findings else { panic!("{}: taken for {kind}", case.name) };
            let first = findings.items.first().expect("a finding");
            assert!(first.place.line >= 1, "{}: {kind}: {findings}", case.name);
        }
    }
}
