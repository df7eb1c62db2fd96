//! Tests of the state chart interpreter: validation of chart files, and steps.

use hickorylink_lib::{
    chart::{Chart, Vocabulary},
    symbols,
};

symbols! {
    enum Door { Open = "open", Closed = "closed", Locked = "locked" }
    enum Push { Shut = "shut", Turn = "turn" }
    enum Has { Key = "key" }
    enum Do { Click = "click" }
}

const VOCABULARY: Vocabulary<'_, Door, Push, Has, Do> = Vocabulary {
    states: (Door::ALL, Door::NAMES),
    events: (Push::ALL, Push::NAMES),
    guards: (Has::ALL, Has::NAMES),
    actions: (Do::ALL, Do::NAMES),
};

const GOOD: &str = r#"{
    "chart": "door", "initial": "open", // a comment
    "transitions": [
        { "from": ["open"], "on": ["shut"], "to": "closed" },
        { "from": ["closed"], "on": ["turn"], "if": ["key"], "do": ["click"], "to": "locked" },
        { "from": ["closed"], "on": ["turn"], "if": ["!key"] },
    ],
    "ignored": [
        { "in": ["open"], "on": ["turn"] },
        { "in": ["closed", "locked"], "on": ["shut"] },
        { "in": ["locked"], "on": ["turn"] },
    ],
}"#;

#[test]
fn steps_follow_the_chart() {
    struct Case {
        state: Door,
        event: Push,
        key: bool,
        to: Door,
        actions: &'static [Do],
    }
    let cases = [
        Case { state: Door::Open, event: Push::Shut, key: false, to: Door::Closed, actions: &[] },
        Case { state: Door::Open, event: Push::Turn, key: true, to: Door::Open, actions: &[] },
        Case {
            state: Door::Closed,
            event: Push::Turn,
            key: true,
            to: Door::Locked,
            actions: &[Do::Click],
        },
        Case { state: Door::Closed, event: Push::Turn, key: false, to: Door::Closed, actions: &[] },
    ];
    let chart = Chart::parse("door.jsonc", GOOD, &VOCABULARY).expect("the chart is valid");
    assert_eq!(chart.initial(), Door::Open);
    for case in cases {
        let step = chart.step(case.state, case.event, |_| case.key).expect("a rule applies");
        assert_eq!((step.to, step.actions), (case.to, case.actions), "{:?}", case.event);
    }
}

#[test]
fn errors_are_reported_with_their_positions() {
    struct Case {
        name: &'static str,
        change: (&'static str, &'static str),
        want: &'static str,
    }
    let cases = [
        Case {
            name: "an unknown state",
            change: (r#""to": "locked""#, r#""to": "lockd""#),
            want: r#"door.jsonc:5:85: unknown to "lockd"; did you mean "locked"?"#,
        },
        Case {
            name: "a state that can't be reached",
            change: (r#""do": ["click"], "to": "locked""#, r#""do": ["click"]"#),
            want: r#"door.jsonc:1:1: state "locked" can't be reached"#,
        },
        Case {
            name: "an event that a state doesn't handle",
            change: (r#"{ "in": ["locked"], "on": ["turn"] },"#, ""),
            want: r#"door.jsonc:1:1: state "locked" doesn't handle event "turn""#,
        },
        Case {
            name: "an unknown field",
            change: (r#""if": ["!key"]"#, r#""iff": ["!key"]"#),
            want: r#"door.jsonc:6:47: unknown field "iff"; did you mean "if"?"#,
        },
        Case {
            name: "a transition that an earlier one hides",
            change: (r#""if": ["key"], "#, ""),
            want: "door.jsonc:6:9: an earlier transition without \"if\" hides this one",
        },
    ];
    for case in cases {
        let text = GOOD.replace(case.change.0, case.change.1);
        assert_ne!(text, GOOD, "{}: the change applies", case.name);
        let findings = Chart::parse("door.jsonc", &text, &VOCABULARY).expect_err(case.name);
        assert!(findings.to_string().contains(case.want), "{}: {findings}", case.name);
    }
}
