//! Tests of the settings for waits for better placements.

use std::time::Duration;

use hickorylink_lib::jobs::locality::Locality;
use hickorylink_runtime::settings::Settings;

/// A settings file with further fields.
fn file(fields: &str) -> String {
    format!(
        "{{\n  \"name\": \"c1\",\n  \"centre\": \"a\",\n  \"listen\": \"127.0.0.1:7001\",\n  \
         \"peer_port\": 7580,\n  {fields}\n}}"
    )
}

/// Guards against waits in deployments that don't ask for them, and against settings that are misread.
#[test]
fn waits_for_better_placements_are_off_unless_they_are_set() {
    struct Case {
        name: &'static str,
        fields: &'static str,
        want: Locality,
    }
    let waits = |millis| Locality { remote_factor: 1.5, max_wait: Duration::from_millis(millis) };
    let cases = [
        Case { name: "no setting", fields: "", want: Locality::OFF },
        Case {
            name: "a factor alone",
            fields: r#""locality": { "remote_factor": 1.5 }"#,
            want: waits(0),
        },
        Case {
            name: "both",
            fields: r#""locality": { "remote_factor": 1.5, "max_wait_ms": 10000 }"#,
            want: waits(10_000),
        },
    ];
    for case in cases {
        let settings = Settings::parse("s.jsonc", &file(case.fields)).expect(case.name);
        assert_eq!(settings.locality, case.want, "{}", case.name);
    }
    assert!(!Locality::OFF.is_on() && !waits(0).is_on() && waits(1).is_on());
}

/// Guards against settings with which a task would wait for nothing or for too long.
#[test]
fn odd_waits_are_refused_with_their_place() {
    struct Case {
        name: &'static str,
        fields: &'static str,
        want: &'static str,
    }
    let cases = [
        Case {
            name: "a factor of 1",
            fields: r#""locality": { "remote_factor": 1 }"#,
            want: "s.jsonc:6:34: \"remote_factor\" must be above 1",
        },
        Case {
            name: "a factor below 1",
            fields: r#""locality": { "remote_factor": 0.5 }"#,
            want: "s.jsonc:6:34: \"remote_factor\" must be a number from 1 to 100",
        },
        Case {
            name: "too long a wait",
            fields: r#""locality": { "remote_factor": 3, "max_wait_ms": 10001 }"#,
            want: "s.jsonc:6:52: \"max_wait_ms\" must be a whole number from 0 to 10000",
        },
        Case {
            name: "no factor",
            fields: r#""locality": { "max_wait_ms": 100 }"#,
            want: "field \"remote_factor\" is missing",
        },
        Case {
            name: "an unknown field",
            fields: r#""locality": { "remote_factor": 3, "max_wait": 1 }"#,
            want: "unknown field \"max_wait\"; did you mean \"max_wait_ms\"?",
        },
        Case {
            name: "no object",
            fields: r#""locality": 3"#,
            want: "s.jsonc:6:15: \"locality\" must be an object",
        },
    ];
    for case in cases {
        let findings = Settings::parse("s.jsonc", &file(case.fields)).expect_err(case.name);
        let findings = findings.to_string();
        assert!(findings.contains(case.want), "{}: {findings}", case.name);
    }
}
