//! Tests of the settings of a controller or a gateway.

use std::time::Duration;

use hickorylink_runtime::settings::{Settings, clients::ClientLimits};

/// A settings file whose fields other than the required ones are `extra`.
fn file(extra: &str) -> String {
    format!(
        r#"{{ "name": "g1", "centre": "a", "listen": "127.0.0.1:7001", "peer_port": 7002, "seeds": []
{extra} }}"#
    )
}

// Guards against a default that a legal client can meet.
#[test]
fn defaults_follow_from_the_machine() {
    struct Case {
        name: &'static str,
        extra: &'static str,
        memory_mb: u64,
        max_fds: u64,
        connections: usize,
        buffer_bytes: usize,
    }
    let cases = [
        Case {
            name: "without the settings",
            extra: "",
            memory_mb: 160,
            max_fds: 4096,
            connections: 4096,
            buffer_bytes: 40_000_000,
        },
        Case {
            name: "a controller's machine",
            extra: r#", "memory_mb": 384, "max_fds": 4096"#,
            memory_mb: 384,
            max_fds: 4096,
            connections: 4096,
            buffer_bytes: 96_000_000,
        },
        Case {
            name: "a small machine",
            extra: r#", "memory_mb": 32, "max_fds": 64, "clients": {}"#,
            memory_mb: 32,
            max_fds: 64,
            connections: 64,
            buffer_bytes: 8 << 20,
        },
    ];
    for case in cases {
        let settings = Settings::parse("s.jsonc", &file(case.extra)).expect(case.name);
        assert_eq!((settings.memory_mb, settings.max_fds), (case.memory_mb, case.max_fds));
        let want = ClientLimits {
            connections: case.connections,
            buffer_bytes: case.buffer_bytes,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(10),
        };
        assert_eq!(settings.clients, want, "{}", case.name);
    }
}

#[test]
fn limits_of_clients_are_read() {
    let extra = r#", "memory_mb": 100, "max_fds": 500, "clients": { "connections": 200,
        "buffer_bytes": 9000000, "head_timeout_ms": 100, "body_timeout_ms": 200,
        "idle_timeout_ms": 300, "write_timeout_ms": 600000 }"#;
    let settings = Settings::parse("s.jsonc", &file(extra)).expect("the file is valid");
    let want = ClientLimits {
        connections: 200,
        buffer_bytes: 9_000_000,
        head_timeout: Duration::from_millis(100),
        body_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(300),
        write_timeout: Duration::from_secs(600),
    };
    assert_eq!(settings.clients, want);
}

#[test]
fn errors_are_reported_with_their_positions() {
    struct Case {
        name: &'static str,
        extra: &'static str,
        want: &'static str,
    }
    let cases = [
        Case {
            name: "too little memory",
            extra: r#", "memory_mb": 31"#,
            want: r#"s.jsonc:2:16: "memory_mb" must be a whole number from 32 to 1048576"#,
        },
        Case {
            name: "too few descriptors",
            extra: r#", "max_fds": 63"#,
            want: r#"s.jsonc:2:14: "max_fds" must be a whole number from 64 to 1048576"#,
        },
        Case {
            name: "limits of another type",
            extra: r#", "clients": 7"#,
            want: r#"s.jsonc:2:14: "clients" must be an object"#,
        },
        Case {
            name: "an unknown limit",
            extra: r#", "clients": { "conections": 20 }"#,
            want: r#"s.jsonc:2:16: unknown field "conections"; did you mean "connections"?"#,
        },
        Case {
            name: "more connections than descriptors",
            extra: r#", "max_fds": 64, "clients": { "connections": 65 }"#,
            want: r#"s.jsonc:2:46: "connections" must be a whole number from 16 to 64"#,
        },
        Case {
            name: "more bytes than memory",
            extra: r#", "memory_mb": 32, "clients": { "buffer_bytes": 32000001 }"#,
            want: r#"s.jsonc:2:49: "buffer_bytes" must be a whole number from 8388608 to 32000000"#,
        },
        Case {
            name: "no time for a head",
            extra: r#", "clients": { "head_timeout_ms": 0 }"#,
            want: r#"s.jsonc:2:35: "head_timeout_ms" must be a whole number from 100 to 600000"#,
        },
    ];
    for case in cases {
        let findings = Settings::parse("s.jsonc", &file(case.extra)).expect_err(case.name);
        let findings = findings.to_string();
        assert!(
            findings.contains(case.want),
            "{}: wanted {}, got\n{findings}",
            case.name,
            case.want
        );
    }
}
