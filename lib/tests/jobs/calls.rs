//! What callers and operators are told.

use hickorylink_lib::jobs::{
    call::{Action, OperatorReply, OperatorRequest, Reply},
    config::{Config, Queue},
    controller::Answer,
    lifecycle::JobPhase,
    model::{JobSpec, Step},
};

use crate::world::{FakeWorker, World, job_config, path, step};

#[test]
fn calls_are_answered_by_what_is_agreed() {
    struct Case {
        name: &'static str,
        path: String,
        action: Action,
        want: Reply,
    }
    let spec = |steps| JobSpec { text: "spec".into(), steps, schedule: None };
    let invalid = |reason: &str| Reply::Invalid(reason.into());
    let cases = [
        Case {
            name: "a job",
            path: path(7),
            action: Action::Submit(spec(vec![step(1)])),
            want: Reply::Accepted,
        },
        Case {
            name: "the same again",
            path: path(7),
            action: Action::Submit(spec(vec![step(1)])),
            want: Reply::Accepted,
        },
        Case {
            name: "its state",
            path: path(7),
            action: Action::Show,
            want: Reply::Job(JobPhase::Queued),
        },
        Case { name: "another job", path: path(8), action: Action::Show, want: Reply::NoJob },
        Case {
            name: "how many wait",
            path: "/fold/".to_owned(),
            action: Action::Show,
            want: Reply::Pending(1),
        },
        Case {
            name: "no queue",
            path: "/crease/".to_owned(),
            action: Action::Show,
            want: Reply::NoQueue,
        },
        Case {
            name: "a short number",
            path: "/fold/12ab".to_owned(),
            action: Action::Show,
            want: invalid("a job's number has 16 hexadecimal digits"),
        },
        Case {
            name: "no steps",
            path: path(9),
            action: Action::Submit(spec(Vec::new())),
            want: invalid("a job has at least one step"),
        },
        Case {
            name: "a step that waits for itself",
            path: path(9),
            action: Action::Submit(spec(vec![Step { after: vec![0], ..step(1) }])),
            want: invalid("step 0 depends on step 0, which isn't an earlier one"),
        },
        Case { name: "a cancel", path: path(7), action: Action::Cancel, want: Reply::Cancelled },
        Case { name: "again", path: path(7), action: Action::Cancel, want: Reply::Cancelled },
        Case {
            name: "cancelled",
            path: path(7),
            action: Action::Show,
            want: Reply::Job(JobPhase::Cancelled),
        },
        Case {
            name: "none waits",
            path: "/fold/".to_owned(),
            action: Action::Show,
            want: Reply::Pending(0),
        },
    ];
    let mut world = World::new();
    for case in cases {
        assert_eq!(world.call(&case.path, case.action), case.want, "{}", case.name);
    }
}

#[test]
fn a_cancelled_job_stops() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.submit(7, vec![step(6)]);
    world.beat(&mut worker);
    world.beat(&mut worker);
    assert_eq!(worker.running.len(), 4);
    assert_eq!(world.call(&path(7), Action::Cancel), Reply::Cancelled);
    world.beat(&mut worker);
    assert_eq!(worker.stopped.len(), 4);
    world.beat(&mut worker);
    assert_eq!(worker.started.len(), 4, "nothing more starts");
}

#[test]
fn the_highest_version_is_in_force() {
    struct Case {
        name: &'static str,
        version: u64,
        prefix: &'static str,
        version_after: u64,
        fold: bool,
    }
    let cases = [
        Case { name: "higher", version: 5, prefix: "/new/", version_after: 5, fold: false },
        Case { name: "lower", version: 3, prefix: "/fold/", version_after: 5, fold: false },
        Case { name: "the same", version: 5, prefix: "/fold/", version_after: 5, fold: false },
        Case { name: "back", version: 6, prefix: "/fold/", version_after: 6, fold: true },
    ];
    let mut world = World::new();
    for case in cases {
        let plain = job_config(case.version);
        let queue = Queue { prefix: case.prefix.into(), ..plain.queues[0].clone() };
        let config = Config { queues: vec![queue], ..plain };
        let ticket = world.order(OperatorRequest::Configure(Box::new(config)));
        let stored = matches!(world.answers[&ticket], Answer::Operator(OperatorReply::Stored));
        assert!(stored, "{}", case.name);
        let ticket = world.order(OperatorRequest::Show);
        let Answer::Operator(OperatorReply::Config(held)) = &world.answers[&ticket] else {
            panic!("{}", case.name);
        };
        assert_eq!(held.version, case.version_after, "{}", case.name);
        let known = world.call("/fold/", Action::Show) != Reply::NoQueue;
        assert_eq!(known, case.fold, "{}", case.name);
    }
}

#[test]
fn a_config_with_a_defect_says_where() {
    struct Case {
        name: &'static str,
        change: fn(&mut Config),
        want: &'static str,
    }
    let cases = [
        Case {
            name: "a service",
            change: |config| config.queues[0].service = "none".into(),
            want: "queue \"fold\": unknown service \"none\"",
        },
        Case {
            name: "a timeout",
            change: |config| config.queues[0].timeout = 0,
            want: "queue \"fold\": the timeout is 0",
        },
        Case {
            name: "a place",
            change: |config| {
                let again = Queue { name: "again".into(), ..config.queues[0].clone() };
                config.queues.push(again);
            },
            want: "queue \"again\": host and prefix are taken",
        },
    ];
    assert_eq!(job_config(1).validation_errors(), Vec::<String>::new());
    for case in cases {
        let mut config = job_config(1);
        (case.change)(&mut config);
        assert_eq!(config.validation_errors(), [case.want], "{}", case.name);
    }
}
