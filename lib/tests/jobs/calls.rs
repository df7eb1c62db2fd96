//! Replies to customers and operators.

use hickorylink_lib::jobs::{
    call::{Action, OperatorReply, OperatorRequest, Reply},
    config::{Config, Queue},
    controller::Answer,
    lifecycle::JobPhase,
    model::{JobSpec, Step},
};

use crate::world::{FakeWorker, World, job_config, path, step};

#[test]
fn replies_follow_the_replicated_state() {
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
            name: "submit",
            path: path(7),
            action: Action::Submit(spec(vec![step(1)])),
            want: Reply::Accepted,
        },
        Case {
            name: "submit the same job again",
            path: path(7),
            action: Action::Submit(spec(vec![step(1)])),
            want: Reply::Accepted,
        },
        Case {
            name: "show the job",
            path: path(7),
            action: Action::Show,
            want: Reply::Job(JobPhase::Queued),
        },
        Case { name: "unknown job", path: path(8), action: Action::Show, want: Reply::NoJob },
        Case {
            name: "pending jobs",
            path: "/fold/".to_owned(),
            action: Action::Show,
            want: Reply::Pending(1),
        },
        Case {
            name: "unknown queue",
            path: "/crease/".to_owned(),
            action: Action::Show,
            want: Reply::NoQueue,
        },
        Case {
            name: "short job identifier",
            path: "/fold/12ab".to_owned(),
            action: Action::Show,
            want: invalid("a job's number has 16 hexadecimal digits"),
        },
        Case {
            name: "job without steps",
            path: path(9),
            action: Action::Submit(spec(Vec::new())),
            want: invalid("a job has at least one step"),
        },
        Case {
            name: "step that depends on itself",
            path: path(9),
            action: Action::Submit(spec(vec![Step { after: vec![0], ..step(1) }])),
            want: invalid("step 0 depends on step 0, which isn't an earlier one"),
        },
        Case { name: "cancel", path: path(7), action: Action::Cancel, want: Reply::Cancelled },
        Case {
            name: "cancel again",
            path: path(7),
            action: Action::Cancel,
            want: Reply::Cancelled,
        },
        Case {
            name: "show the cancelled job",
            path: path(7),
            action: Action::Show,
            want: Reply::Job(JobPhase::Cancelled),
        },
        Case {
            name: "no pending jobs",
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
fn cancelling_a_job_stops_its_runs() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.submit(7, vec![step(6)]);
    world.heartbeat(&mut worker);
    world.heartbeat(&mut worker);
    assert_eq!(worker.running.len(), 4);
    assert_eq!(world.call(&path(7), Action::Cancel), Reply::Cancelled);
    world.heartbeat(&mut worker);
    assert_eq!(worker.stopped.len(), 4);
    world.heartbeat(&mut worker);
    assert_eq!(worker.started.len(), 4, "no further task starts");
}

#[test]
fn the_highest_config_version_is_in_force() {
    struct Case {
        name: &'static str,
        version: u64,
        prefix: &'static str,
        want_version: u64,
        fold_exists: bool,
    }
    let cases = [
        Case {
            name: "higher version",
            version: 5,
            prefix: "/new/",
            want_version: 5,
            fold_exists: false,
        },
        Case {
            name: "lower version",
            version: 3,
            prefix: "/fold/",
            want_version: 5,
            fold_exists: false,
        },
        Case {
            name: "same version",
            version: 5,
            prefix: "/fold/",
            want_version: 5,
            fold_exists: false,
        },
        Case {
            name: "original prefix in a higher version",
            version: 6,
            prefix: "/fold/",
            want_version: 6,
            fold_exists: true,
        },
    ];
    let mut world = World::new();
    for case in cases {
        let base = job_config(case.version);
        let queue = Queue { prefix: case.prefix.into(), ..base.queues[0].clone() };
        let config = Config { queues: vec![queue], ..base };
        let ticket = world.operator_request(OperatorRequest::Configure(Box::new(config)));
        let stored = matches!(world.answers[&ticket], Answer::Operator(OperatorReply::Stored));
        assert!(stored, "{}", case.name);
        let ticket = world.operator_request(OperatorRequest::Show);
        let Answer::Operator(OperatorReply::Config(current)) = &world.answers[&ticket] else {
            panic!("{}", case.name);
        };
        assert_eq!(current.version, case.want_version, "{}", case.name);
        let known = world.call("/fold/", Action::Show) != Reply::NoQueue;
        assert_eq!(known, case.fold_exists, "{}", case.name);
    }
}

#[test]
fn config_errors_name_the_queue() {
    struct Case {
        name: &'static str,
        change: fn(&mut Config),
        want: &'static str,
    }
    let cases = [
        Case {
            name: "unknown service",
            change: |config| config.queues[0].service = "none".into(),
            want: "queue \"fold\": unknown service \"none\"",
        },
        Case {
            name: "zero timeout",
            change: |config| config.queues[0].timeout = 0,
            want: "queue \"fold\": the timeout is 0",
        },
        Case {
            name: "duplicate host and prefix",
            change: |config| {
                let duplicate = Queue { name: "again".into(), ..config.queues[0].clone() };
                config.queues.push(duplicate);
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
