//! Tests of the lists: parsing, errors and their positions, and consistency of the two lists.

use std::time::Duration;

use hickorylink_lib::{
    finding::Findings,
    ids::{CustomerName, ServiceName},
    lists::{
        MAX_LIST_BYTES, build_policy, check_consistency, check_replicas, parse_plans, parse_usage,
    },
    policy::{CredentialHash, Objective},
    resources::Resources,
};
use quickcheck::{Gen, QuickCheck};

const PLANS: &str = r#"{
    // two operators
    "version": 3,
    "operators": [{ "name": "ann", "credential": "blake3:@1" }],
    "plans": [
        { "name": "gold", "objective": "latency", "services": ["desk"] },
        { "name": "iron", "objective": "throughput", "retry_percent": 2.5, "weight": 4 },
    ],
    "customers": [
        { "name": "store", "plan": "gold", "credential": "blake3:@2" },
        { "name": "member", "plan": "iron", "credential": "blake3:@3" },
    ],
    "services": [
        { "name": "desk", "owner": "store", "size": { "processors": 0.5, "memory_gib": 1 },
          "replicas": { "akl-a": 16 }, "latency_ms": 50 },
    ],
}"#;

const USAGE: &str = r#"{
    "version": 1,
    "usage": [
        { "plan": "gold", "guaranteed": { "processors": 8, "memory_gib": 16 } },
        { "plan": "iron", "best_effort": { "processors": 1.5, "memory_gib": 0.1, "accelerators": 2 } },
    ],
}"#;

/// Replaces `@1` to `@9` by hashes.
fn with_hashes(text: &str) -> String {
    (1..=9).fold(text.to_owned(), |text, at| {
        text.replace(&format!("@{at}"), &at.to_string().repeat(64))
    })
}

fn sample(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../samples/");
    std::fs::read_to_string(format!("{root}{path}")).expect("the sample can be read")
}

#[test]
fn valid_lists_build_a_policy() {
    let plans = parse_plans("plans.jsonc", &with_hashes(PLANS)).expect("the plans list is valid");
    let usage = parse_usage("usage.jsonc", USAGE).expect("the usage list is valid");
    check_consistency(&plans, &usage).expect("the lists are consistent");
    assert_eq!((plans.version, usage.version), (3, 1));
    let policy = build_policy(&plans, &usage);
    let gold = policy.plan_of(&"store".into()).expect("the store has a plan");
    assert_eq!(gold.objective, Objective::Latency);
    assert_eq!((gold.retry_permille, gold.weight, gold.exact_counts), (100, 1, true));
    assert_eq!(gold.allowance.guaranteed.millicores, 8_000);
    let iron = policy.plan_of(&"member".into()).expect("the member has a plan");
    assert_eq!((iron.retry_permille, iron.weight), (25, 4));
    let idle = Resources { millicores: 1_500, memory_mib: 103, accelerators: 2 };
    assert_eq!(iron.allowance.best_effort, idle);
    let desk = &policy.services[&ServiceName::from("desk")];
    assert_eq!(desk.owner, CustomerName::from("store"));
    assert_eq!((desk.latency, desk.good_ppm), (Duration::from_millis(50), 999_000));
    assert!(policy.may_call(&"store".into(), &"desk".into()));
    assert!(!policy.may_call(&"member".into(), &"desk".into()));
}

#[test]
fn errors_in_plans_are_reported_with_their_positions() {
    struct Case {
        name: &'static str,
        change: (&'static str, &'static str),
        want: &'static str,
    }
    let cases = [
        Case {
            name: "no version",
            change: (r#""version": 3,"#, ""),
            want: r#"plans.jsonc:1:1: field "version" is missing"#,
        },
        Case {
            name: "version zero",
            change: (r#""version": 3"#, r#""version": 0"#),
            want: r#"plans.jsonc:3:16: "version" must be a whole number from 1 to"#,
        },
        Case {
            name: "no operators",
            change: (r#"[{ "name": "ann", "credential": "blake3:@1" }]"#, "[]"),
            want: r#"plans.jsonc:1:1: "operators" names nobody"#,
        },
        Case {
            name: "a duplicate plan",
            change: (r#""name": "iron""#, r#""name": "gold""#),
            want: r#"plans.jsonc:7:9: plan "gold" is listed twice"#,
        },
        Case {
            name: "a duplicate customer",
            change: (r#""name": "member""#, r#""name": "store""#),
            want: r#"plans.jsonc:11:9: customer "store" is listed twice"#,
        },
        Case {
            name: "two customers with one credential",
            change: ("@3", "@2"),
            want: r#"plans.jsonc:11:59: the credential is also that of customer "store""#,
        },
        Case {
            name: "a customer with an operator's credential",
            change: ("@2", "@1"),
            want: r#"plans.jsonc:10:58: the credential is also that of operator "ann""#,
        },
        Case {
            name: "a credential in plain text",
            change: ("blake3:@3", "secret"),
            want: r#"plans.jsonc:11:59: "credential" must be "blake3:" and 64 hex digits"#,
        },
        Case {
            name: "a hash that is too short",
            change: ("@3", "33"),
            want: r#"plans.jsonc:11:59: "credential" must be "blake3:" and 64 hex digits"#,
        },
        Case {
            name: "a customer of an unknown plan",
            change: (r#""plan": "iron""#, r#""plan": "irn""#),
            want: r#"plans.jsonc:11:37: unknown plan "irn"; did you mean "iron"?"#,
        },
        Case {
            name: "an unknown service in a plan",
            change: (r#"["desk"]"#, r#"["dask"]"#),
            want: r#"plans.jsonc:6:64: unknown service "dask"; did you mean "desk"?"#,
        },
        Case {
            name: "a duplicate service in a plan",
            change: (r#"["desk"]"#, r#"["desk", "desk"]"#),
            want: r#"plans.jsonc:6:72: service "desk" is named twice"#,
        },
        Case {
            name: "an unknown owner",
            change: (r#""owner": "store""#, r#""owner": "stores""#),
            want: r#"plans.jsonc:14:36: unknown owner "stores"; did you mean "store"?"#,
        },
        Case {
            name: "a replica without processors",
            change: (r#""processors": 0.5"#, r#""processors": 0.0004"#),
            want: "plans.jsonc:14:53: a replica needs processors and memory above zero",
        },
        Case {
            name: "a name with an uppercase letter",
            change: (r#""name": "member""#, r#""name": "Member""#),
            want: r#"plans.jsonc:11:19: name "Member" may only have the letters a-z"#,
        },
        Case {
            name: "an invalid name of a data centre",
            change: ("akl-a", "akl a"),
            want: r#"plans.jsonc:15:23: name "akl a" may only have the letters a-z"#,
        },
        Case {
            name: "too many replicas",
            change: (r#""akl-a": 16"#, r#""akl-a": 10001"#),
            want: r#"plans.jsonc:15:34: "akl-a" must be a whole number from 0 to 10000"#,
        },
        Case {
            name: "a percentage above 100",
            change: ("2.5", "250"),
            want: r#"plans.jsonc:7:71: "retry_percent" must be a number from 0 to 100"#,
        },
        Case {
            name: "an unknown objective",
            change: (r#""throughput""#, r#""thruput""#),
            want: r#"did you mean "throughput"?"#,
        },
        Case {
            name: "an unknown field",
            change: (r#""weight": 4"#, r#""wieght": 4"#),
            want: r#"plans.jsonc:7:76: unknown field "wieght"; did you mean "weight"?"#,
        },
        Case {
            name: "a truncated file",
            change: ("],\n}", ""),
            want: "plans.jsonc:13:17: Unterminated array",
        },
    ];
    for case in cases {
        let text = PLANS.replace(case.change.0, case.change.1);
        assert_ne!(text, PLANS, "{}: the change applies", case.name);
        let findings = parse_plans("plans.jsonc", &with_hashes(&text)).expect_err(case.name);
        assert!(findings.to_string().contains(case.want), "{}: {findings}", case.name);
    }
}

#[test]
fn errors_in_usage_are_reported_with_their_positions() {
    struct Case {
        name: &'static str,
        change: (&'static str, &'static str),
        want: &'static str,
    }
    let cases = [
        Case {
            name: "a plan with two rows",
            change: (r#""plan": "iron""#, r#""plan": "gold""#),
            want: r#"usage.jsonc:5:9: plan "gold" is listed twice"#,
        },
        Case {
            name: "a plan with an empty allowance",
            change: (r#", "guaranteed": { "processors": 8, "memory_gib": 16 }"#, ""),
            want: "usage.jsonc:4:9: the plan may use nothing",
        },
        Case {
            name: "a negative amount",
            change: (r#""processors": 8"#, r#""processors": -8"#),
            want: r#"usage.jsonc:4:57: "processors" must be a number from 0"#,
        },
        Case {
            name: "a fraction of an accelerator",
            change: (r#""accelerators": 2"#, r#""accelerators": 0.5"#),
            want: r#""accelerators" must be a whole number"#,
        },
        Case {
            name: "no rows at all",
            change: (r#""usage""#, r#""usages""#),
            want: r#"usage.jsonc:1:1: field "usage" is missing"#,
        },
    ];
    for case in cases {
        let text = USAGE.replace(case.change.0, case.change.1);
        assert_ne!(text, USAGE, "{}: the change applies", case.name);
        let findings = parse_usage("usage.jsonc", &text).expect_err(case.name);
        assert!(findings.to_string().contains(case.want), "{}: {findings}", case.name);
    }
}

#[test]
fn all_findings_of_a_file_are_reported_together() {
    let text = PLANS
        .replace(r#""plan": "iron""#, r#""plan": "irn""#)
        .replace(r#""version": 3"#, r#""version": "three""#)
        .replace("2.5", "250")
        .replace("@3", "@2");
    let findings = parse_plans("plans.jsonc", &with_hashes(&text)).expect_err("four errors");
    let places: Vec<_> =
        findings.items.iter().map(|item| (item.place.line, item.place.column)).collect();
    assert_eq!(places, [(3, 16), (7, 71), (11, 37), (11, 58)], "{findings}");
}

#[test]
fn inconsistencies_between_the_lists_are_reported() {
    struct Case {
        name: &'static str,
        plans: (&'static str, &'static str),
        usage: (&'static str, &'static str),
        want: &'static [&'static str],
        replicas: bool,
    }
    let cases = [
        Case {
            name: "a row for an unknown plan, and a plan without a row",
            plans: ("", ""),
            usage: (r#""plan": "iron""#, r#""plan": "irons""#),
            want: &[
                r#"plans.jsonc:7:9: plan "iron" has no row in the usage list"#,
                r#"usage.jsonc:5:9: unknown plan "irons"; did you mean "iron"?"#,
            ],
            replicas: true,
        },
        Case {
            name: "replicas that exceed the owner's guarantee",
            plans: (r#""akl-a": 16"#, r#""akl-a": 16, "akl-b": 1"#),
            usage: ("", ""),
            want: &[concat!(
                r#"plans.jsonc:14:9: the replicas of "store" up to here need 8.5 processors, "#,
                "17 GiB, 0 accelerators; its plan guarantees 8 processors, 16 GiB, 0 accelerators"
            )],
            replicas: false,
        },
    ];
    for case in cases {
        let text = with_hashes(&PLANS.replace(case.plans.0, case.plans.1));
        let plans = parse_plans("plans.jsonc", &text).expect(case.name);
        let text = USAGE.replace(case.usage.0, case.usage.1);
        let usage = parse_usage("usage.jsonc", &text).expect(case.name);
        let found: Vec<_> = check_consistency(&plans, &usage)
            .expect_err(case.name)
            .items
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(found, case.want, "{}", case.name);
        assert_eq!(check_replicas(&plans, &usage).is_ok(), case.replicas, "{}", case.name);
    }
}

#[test]
fn lists_that_exceed_a_limit_are_rejected() {
    let spaces = " ".repeat(MAX_LIST_BYTES + 1);
    let findings = parse_usage("usage.jsonc", &spaces).expect_err("the file is too large");
    assert!(findings.to_string().contains("at most 4194304 are read"), "{findings}");
    let rows = (0..1_001).map(|at| format!(r#"{{"plan":"p{at}","burst":{{"processors":1}}}}"#));
    let text = format!(r#"{{"version":1,"usage":[{}]}}"#, rows.collect::<Vec<_>>().join(","));
    let findings = parse_usage("usage.jsonc", &text).expect_err("too many rows");
    assert!(findings.to_string().contains("1001 rows; at most 1000 fit"), "{findings}");
    let text = USAGE.replace("iron", &"i".repeat(65));
    let findings = parse_usage("usage.jsonc", &text).expect_err("the name is too long");
    assert!(findings.to_string().contains("at most 64 bytes"), "{findings}");
    let text = format!(r#"{{"version":{}"#, "[".repeat(100_000));
    parse_usage("usage.jsonc", &text).expect_err("nested too deeply");
}

#[test]
fn all_unknown_names_are_reported_but_suggestions_are_limited() {
    let rows = (0..1_000).map(|at| {
        format!(r#"{{"name":"p{at}","objective":"latency","services":["desl","s{at}"]}}"#)
    });
    let rows: Vec<_> = rows.collect();
    let text = with_hashes(PLANS)
        .replace(r#""plans": ["#, &format!(r#""plans": [{},"#, rows[..990].join(",")));
    let findings = parse_plans("plans.jsonc", &text).expect_err("no service is known");
    assert_eq!(findings.items.len(), 2 * 990);
    let suggestions = findings.items.iter().filter(|item| item.message.contains("did you mean"));
    assert_eq!(suggestions.count(), 50, "every other of the first 100 is similar");
    let many = vec![r#""desk""#; 1_001].join(",");
    let text = with_hashes(PLANS).replace(r#"["desk"]"#, &format!("[{many}]"));
    let findings = parse_plans("plans.jsonc", &text).expect_err("too many services");
    assert!(findings.to_string().contains("1001 rows; at most 1000 fit"), "{findings}");
}

#[test]
fn sample_lists_are_consistent_and_state_their_credentials() {
    struct Case {
        folder: &'static str,
        service: &'static str,
        replicas: u32,
    }
    let cases = [
        Case { folder: "kowhai", service: "folddesk", replicas: 48 },
        Case { folder: "dermaga", service: "papan-hub", replicas: 48 },
    ];
    for case in cases {
        let text = sample(&format!("{}/plans.jsonc", case.folder));
        let plans = parse_plans("plans.jsonc", &text).unwrap_or_else(|f| panic!("{f}"));
        let usage = sample(&format!("{}/usage.jsonc", case.folder));
        let usage = parse_usage("usage.jsonc", &usage).unwrap_or_else(|f| panic!("{f}"));
        check_consistency(&plans, &usage).unwrap_or_else(|f: Findings| panic!("{f}"));
        let service = &plans.services[&ServiceName::from(case.service)].service;
        assert_eq!(service.replicas.values().sum::<u32>(), case.replicas, "{}", case.folder);
        let stated = text.lines().filter_map(|line| line.split("trying it out: \"").nth(1));
        let mut stated: Vec<_> =
            stated.map(|rest| CredentialHash::of(rest.trim_end_matches('"'))).collect();
        let mut listed: Vec<_> = plans.operators.values().copied().collect();
        listed.extend(plans.customers.values().map(|customer| customer.credential));
        stated.sort();
        listed.sort();
        assert_eq!(stated, listed, "{}", case.folder);
    }
}

#[test]
fn corrupt_lists_do_not_panic() {
    fn survives(corruptions: Vec<(u16, u8)>) -> bool {
        let mut bytes = with_hashes(PLANS).into_bytes();
        for (at, byte) in corruptions {
            let at = usize::from(at) % bytes.len();
            bytes[at] = byte;
        }
        let text = String::from_utf8_lossy(&bytes);
        let _ = parse_plans("plans.jsonc", &text);
        let _ = parse_usage("usage.jsonc", &text);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(2_000)
        .quickcheck(survives as fn(_) -> bool);
}
