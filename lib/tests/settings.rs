//! Tests of settings files: parsing, and errors with their positions.

use std::{collections::BTreeSet, fs, io, path::Path};

use hickorylink_lib::settings::Settings;

const GOOD: &str = r#"{
    // An instance with a disk.
    "name": "akl-a-1",
    "centre": "akl-a",
    "listen": "127.0.0.1:7001",
    "peer_listen": "127.0.0.1:7101",
    "peers": ["127.0.0.1:7102"],
    "data": "data/akl-a-1",
    "founding": true,
    "peer_key": "0123456789abcdef",
    "worker_key": "fedcba9876543210",
    "operator": {
        "name": "hana",
        "credential": "blake3:f8a03630fcfd7f4033a2a2a34793b24d7bcd5ebe7078836ec3b81b0668159d7f",
    },
    "log": { "format": "terminal", "level": "debug" },
    "limits": { "body_kib": 64 },
}"#;

#[test]
fn valid_file_is_parsed() {
    let settings = Settings::parse("s.jsonc", GOOD).expect("the file is valid");
    assert_eq!(settings.name.as_str(), "akl-a-1");
    assert_eq!(settings.council, 3, "the default");
    assert_eq!(settings.limits.body, 64 * 1024);
    assert!(settings.founding);
}

#[test]
fn errors_are_reported_with_their_positions() {
    struct Case {
        name: &'static str,
        change: (&'static str, &'static str),
        want: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "an unknown field",
            change: (r#""listen": "127"#, r#""listne": "127"#),
            want: &[
                r#"s.jsonc:1:1: field "listen" is missing"#,
                r#"s.jsonc:5:5: unknown field "listne"; did you mean "listen"?"#,
            ],
        },
        Case {
            name: "two errors at once",
            change: ("\"akl-a-1\",\n    \"centre\": \"akl-a\"", "\"A 1\",\n    \"centre\": 7"),
            want: &[
                "s.jsonc:3:13: name \"A 1\" may only have the letters a-z, digits and hyphens",
                r#"s.jsonc:4:15: "centre" must be text that isn't empty"#,
            ],
        },
        Case {
            name: "an address without a port",
            change: (r#"["127.0.0.1:7102"]"#, r#"["localhost"]"#),
            want: &[r#"s.jsonc:7:15: "localhost" is not an IP address with a port"#],
        },
        Case {
            name: "founding without a disk",
            change: (r#""data": "data/akl-a-1","#, ""),
            want: &[r#"s.jsonc:1:1: "founding" needs "data""#],
        },
        Case {
            name: "a short key",
            change: ("0123456789abcdef", "0123"),
            want: &["s.jsonc:10:17: a key has at least 16 bytes"],
        },
        Case {
            name: "a credential in plain text",
            change: ("blake3:f8a0", "f8a0"),
            want: &["s.jsonc:14:23: \"credential\" must be \"blake3:\" and 64 hex digits"],
        },
        Case {
            name: "an unknown level",
            change: (r#""level": "debug""#, r#""level": "debgu""#),
            want: &[r#"s.jsonc:16:45: unknown level "debgu"; did you mean "debug"?"#],
        },
        Case {
            name: "a limit out of bounds",
            change: (r#""body_kib": 64"#, r#""body_kib": 0"#),
            want: &[r#"s.jsonc:17:29: "body_kib" must be a whole number from 1 to 16384"#],
        },
        Case {
            name: "invalid JSON",
            change: ("{\n    // An", "{{\n    // An"),
            want: &["s.jsonc:1:2: "],
        },
    ];
    for case in cases {
        let text = GOOD.replace(case.change.0, case.change.1);
        assert_ne!(text, GOOD, "{}: the change applies", case.name);
        let findings = Settings::parse("s.jsonc", &text).expect_err(case.name).to_string();
        for want in case.want {
            assert!(findings.contains(want), "{}: wanted {want}, got\n{findings}", case.name);
        }
    }
}

#[test]
fn samples_are_complete_deployments() {
    struct Case {
        user: &'static str,
        centres: &'static [&'static str],
        instances: usize,
    }
    let cases = [
        Case { user: "kowhai", centres: &["akl-a", "akl-b", "hlz-c"], instances: 6 },
        Case {
            user: "dermaga",
            centres: &["klang-a", "dickson-b", "melaka-c", "penang-d"],
            instances: 8,
        },
    ];
    for case in cases {
        let all = samples(case.user);
        assert_eq!(all.len(), case.instances, "{}", case.user);
        assert_eq!(
            all.iter().filter(|s| s.founding).count(),
            1,
            "{}: one bootstraps the group",
            case.user
        );
        let addresses: BTreeSet<_> = all.iter().flat_map(|s| [s.listen, s.peer_listen]).collect();
        assert_eq!(addresses.len(), 2 * all.len(), "{}: all addresses differ", case.user);
        let found: BTreeSet<_> = all.iter().map(|s| s.centre.as_str()).collect();
        assert_eq!(found, case.centres.iter().copied().collect(), "{}", case.user);
        for centre in case.centres {
            let disks = all.iter().filter(|s| s.centre.as_str() == *centre && s.data.is_some());
            assert_eq!(disks.count(), 1, "{centre}: one has a disk");
        }
        for settings in &all {
            assert_eq!(settings.peer_key, all[0].peer_key, "{}", settings.name);
            assert_eq!(settings.worker_key, all[0].worker_key, "{}", settings.name);
            let known =
                settings.peers.iter().all(|peer| all.iter().any(|s| s.peer_listen == *peer));
            assert!(known, "{}: its peers are instances", settings.name);
        }
    }
}

/// Reads the settings of all instances of a sample; each file is named after its instance.
fn samples(user: &str) -> Vec<Settings> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../samples").join(user);
    let files = fs::read_dir(folder.join("instances")).expect("the folder can be read");
    let read = |file: io::Result<fs::DirEntry>| {
        let path = file.expect("the folder can be read").path();
        let text = fs::read_to_string(&path).expect("the file can be read");
        let settings = Settings::parse(&path.display().to_string(), &text);
        let settings = settings.unwrap_or_else(|findings| panic!("{findings}"));
        assert_eq!(path.file_stem().and_then(|stem| stem.to_str()), Some(settings.name.as_str()));
        settings
    };
    files.map(read).collect()
}
