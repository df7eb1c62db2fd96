//! The check of a configuration, and its comparison with the one in force.

use hickorylink_lib::jobs::{
    call::{Action, OperatorRequest, Reply},
    config::{Advice, Config, Field, Queue, Service},
    config_check::{CheckFinding, Entry, Severity, check, compare},
    lifecycle::JobPhase,
    record::Ending,
};

use crate::world::{FakeWorker, World, job_config, path, step};

type Found = (Severity, Entry, Option<Field>);

fn summary(findings: &[CheckFinding]) -> Vec<Found> {
    findings.iter().map(|found| (found.severity, found.entry, found.field)).collect()
}

/// Guards against a finding that is missed, or reported at another entry or field.
#[test]
fn errors_and_warnings_have_their_places() {
    struct Case {
        name: &'static str,
        change: fn(&mut Config),
        want: &'static [(Severity, usize, Field)],
    }
    let cases = [
        Case { name: "valid", change: |_| {}, want: &[] },
        Case {
            name: "all errors together",
            change: |config| {
                config.queues[0].service = "none".into();
                config.queues[0].timeout = 0;
                let again = Queue { name: "again".into(), ..config.queues[0].clone() };
                config.queues.push(Queue { service: "desk".into(), timeout: 3000, ..again });
            },
            want: &[
                (Severity::Error, 0, Field::Service),
                (Severity::Error, 0, Field::Timeout),
                (Severity::Error, 1, Field::Prefix),
            ],
        },
        Case {
            name: "two queues of one name",
            change: |config| {
                let other = Queue { prefix: "/other/".into(), ..config.queues[0].clone() };
                config.queues.push(other);
            },
            want: &[(Severity::Warning, 1, Field::Name)],
        },
        Case {
            name: "an empty host",
            change: |config| config.queues[0].host = "".into(),
            want: &[(Severity::Warning, 0, Field::Host)],
        },
        Case {
            name: "a host with a path",
            change: |config| config.queues[0].host = "fold.example/x".into(),
            want: &[(Severity::Warning, 0, Field::Host)],
        },
        Case {
            name: "a host with a blank",
            change: |config| config.queues[0].host = "fold example".into(),
            want: &[(Severity::Warning, 0, Field::Host)],
        },
        Case {
            name: "a host with a port",
            change: |config| config.queues[0].host = "[::1]:8080".into(),
            want: &[],
        },
        Case {
            name: "a prefix without a slash",
            change: |config| config.queues[0].prefix = "fold/".into(),
            want: &[(Severity::Warning, 0, Field::Prefix)],
        },
        Case {
            name: "a prefix with a query",
            change: |config| config.queues[0].prefix = "/fold?a=".into(),
            want: &[(Severity::Warning, 0, Field::Prefix)],
        },
        Case {
            name: "an empty prefix, which all paths have",
            change: |config| config.queues[0].prefix = "".into(),
            want: &[],
        },
        Case {
            name: "a timeout below the objective",
            change: |config| config.queues[0].timeout = 999,
            want: &[(Severity::Warning, 0, Field::Timeout)],
        },
        Case {
            name: "a timeout as long as the objective",
            change: |config| config.queues[0].timeout = 1000,
            want: &[],
        },
        Case {
            name: "advice that expires before it arrives",
            change: |config| {
                config.queues[0].advice = Some(Advice { decide: 90, period: 10, valid: 100 });
            },
            want: &[(Severity::Warning, 0, Field::Advice)],
        },
        Case {
            name: "advice without end",
            change: |config| {
                let advice = Advice { decide: u64::MAX, period: u64::MAX, valid: u64::MAX };
                config.queues[0].advice = Some(advice);
            },
            want: &[(Severity::Warning, 0, Field::Advice)],
        },
        Case {
            name: "advice that is valid for long enough",
            change: |config| {
                config.queues[0].advice = Some(Advice { decide: 90, period: 10, valid: 101 });
            },
            want: &[],
        },
        Case {
            name: "a service on standby",
            change: |config| config.services[0].standby = true,
            want: &[(Severity::Warning, 0, Field::Service)],
        },
    ];
    for case in cases {
        let mut config = job_config(1);
        (case.change)(&mut config);
        let want = case
            .want
            .iter()
            .map(|(severity, at, field)| (*severity, Entry::Queue(Some(*at)), Some(*field)));
        assert_eq!(summary(&check(&config)), want.collect::<Vec<_>>(), "{}", case.name);
    }
}

/// Guards against an error that a controller finds and the check doesn't, or the other way round.
#[test]
fn errors_are_those_of_a_controller() {
    let mut config = job_config(1);
    config.queues[0].timeout = 0;
    config.queues[0].service = "none".into();
    let messages: Vec<_> = check(&config).into_iter().map(|found| found.message).collect();
    assert_eq!(messages, config.validation_errors());
}

/// Guards against a difference that is missed or has another effect than the controllers' code gives it.
#[test]
fn differences_name_their_effect() {
    struct Case {
        name: &'static str,
        version: u64,
        change: fn(&mut Config),
        want: &'static [(Entry, Option<Field>, &'static str)],
    }
    const FORCE: (Entry, Option<Field>, &str) =
        (Entry::Config, Some(Field::Version), "it comes into force");
    const IGNORED: (Entry, Option<Field>, &str) =
        (Entry::Config, Some(Field::Version), "ignore the whole configuration");
    const QUEUE: Entry = Entry::Queue(Some(0));
    const SERVICE: Entry = Entry::Service(Some(0));
    let cases = [
        Case { name: "the same", version: 2, change: |_| {}, want: &[] },
        Case { name: "a higher version only", version: 3, change: |_| {}, want: &[FORCE] },
        Case { name: "a lower version", version: 1, change: |_| {}, want: &[IGNORED] },
        Case {
            name: "a change under the same version",
            version: 2,
            change: |config| config.queues[0].priority = 1,
            want: &[IGNORED, (QUEUE, Some(Field::Priority), "waiting tasks are sorted anew")],
        },
        Case {
            name: "a queue removed",
            version: 3,
            change: |config| config.queues.clear(),
            want: &[FORCE, (Entry::Queue(None), None, "can't be shown or cancelled any more")],
        },
        Case {
            name: "a queue added",
            version: 3,
            change: |config| {
                let prefix = "/other/".into();
                let other = Queue { name: "other".into(), prefix, ..config.queues[0].clone() };
                config.queues.push(other);
            },
            want: &[FORCE, (Entry::Queue(Some(1)), None, "is added")],
        },
        Case {
            name: "a service removed, another added",
            version: 3,
            change: |config| config.services[0].name = "other".into(),
            want: &[
                FORCE,
                (SERVICE, None, "\"other\" is added"),
                (Entry::Service(None), None, "\"desk\" is removed"),
            ],
        },
        Case {
            name: "each field of a queue",
            version: 3,
            change: |config| {
                config.queues[0] = Queue {
                    name: "fold".into(),
                    host: "other.example".into(),
                    prefix: "/other/".into(),
                    service: "other".into(),
                    priority: 7,
                    max_attempts: 1,
                    slack: 1500,
                    target_latency: 5,
                    timeout: u64::MAX,
                    advice: Some(Advice { decide: 1, period: 1, valid: 9 }),
                }
            },
            want: &[
                FORCE,
                (QUEUE, Some(Field::Host), "calls at the old address get 404"),
                (QUEUE, Some(Field::Prefix), "calls at the old address get 404"),
                (QUEUE, Some(Field::Service), "running tasks go on where they are"),
                (QUEUE, Some(Field::Priority), "from 0 to 7"),
                (QUEUE, Some(Field::MaxAttempts), "it applies to accepted jobs too"),
                (QUEUE, Some(Field::Slack), "from 2 to 1.5: accepted jobs get the new objective"),
                (QUEUE, Some(Field::TargetLatency), "accepted jobs get the new objective"),
                (QUEUE, Some(Field::Timeout), "from 3000 ms to none"),
                (QUEUE, Some(Field::Advice), "isn't affected"),
            ],
        },
        Case {
            name: "each field of a service",
            version: 3,
            change: |config| {
                let name = config.services[0].name.clone();
                config.services[0] = Service { name, rejects_overload: false, standby: true };
            },
            want: &[
                FORCE,
                (SERVICE, Some(Field::RejectsOverload), "from true to false"),
                (SERVICE, Some(Field::Standby), "from false to true"),
            ],
        },
    ];
    for case in cases {
        let mut config = job_config(case.version);
        (case.change)(&mut config);
        let found = compare(&config, &job_config(2));
        let want: Vec<_> = case.want.iter().map(|(entry, field, _)| (*entry, *field)).collect();
        let places: Vec<_> = found.iter().map(|found| (found.entry, found.field)).collect();
        assert_eq!(places, want, "{}", case.name);
        for (found, (_, _, text)) in found.iter().zip(case.want) {
            assert_eq!(found.severity, Severity::Difference, "{}", case.name);
            assert!(found.message.contains(text), "{}: {}", case.name, found.message);
        }
    }
}

/// Guards against messages and a page that promise something else than a controller does: a queue that is
/// removed, moved to another service or given fewer attempts while one task runs and others wait.
#[test]
fn a_controller_does_what_the_differences_say() {
    struct Case {
        name: &'static str,
        change: fn(&mut Config),
        /// The end of the task that runs.
        ending: Ending,
        shown: bool,
        /// The tasks that run on the worker after that end.
        started: usize,
        phase: JobPhase,
    }
    let base = Case {
        name: "nothing",
        change: |_| {},
        ending: Ending::Done,
        shown: true,
        started: 1,
        phase: JobPhase::Active,
    };
    let cases = [
        Case {
            name: "the queue is removed",
            change: |config| config.queues.clear(),
            shown: false,
            started: 0,
            ..base
        },
        Case {
            name: "another service",
            change: |config| {
                config.queues[0].service = "other".into();
                let other = Service { name: "other".into(), ..config.services[0].clone() };
                config.services.push(other);
            },
            started: 0,
            ..base
        },
        Case {
            name: "fewer attempts",
            change: |config| config.queues[0].max_attempts = 1,
            ending: Ending::Failed,
            started: 0,
            phase: JobPhase::Failed,
            ..base
        },
        base,
    ];
    for case in cases {
        let mut world = World::new();
        let mut worker = FakeWorker::new("w1");
        worker.capacity.millicores = 1000;
        world.submit(7, vec![step(2)]);
        for _ in 0..3 {
            world.heartbeat(&mut worker);
        }
        assert_eq!(worker.running.len(), 1, "{}: one task runs, one waits", case.name);
        let mut config = job_config(2);
        (case.change)(&mut config);
        world.operator_request(OperatorRequest::Configure(Box::new(config)));
        for _ in 0..3 {
            world.heartbeat(&mut worker);
        }
        assert_eq!(worker.running.len(), 1, "{}: the running task goes on", case.name);
        assert!(worker.stopped.is_empty(), "{}", case.name);
        worker.end_all(case.ending);
        for _ in 0..3 {
            world.heartbeat(&mut worker);
        }
        assert_eq!(worker.running.len(), case.started, "{}", case.name);
        let shown = world.call(&path(7), Action::Show) != Reply::NoQueue;
        assert_eq!(shown, case.shown, "{}", case.name);
        if shown {
            assert_eq!(world.phase(7), case.phase, "{}", case.name);
        }
        let cancelled = world.call(&path(7), Action::Cancel) != Reply::NoQueue;
        assert_eq!(cancelled, case.shown, "{}", case.name);
    }
}

/// Guards against a description of fewer attempts that leaves out earlier failures: they count as soon as a
/// run of the task ends, however it ends.
#[test]
fn earlier_failures_count_for_fewer_attempts() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.submit(7, vec![step(1)]);
    world.heartbeat(&mut worker);
    world.heartbeat(&mut worker);
    worker.end_all(Ending::Failed);
    for _ in 0..3 {
        world.heartbeat(&mut worker);
    }
    assert_eq!(worker.running.len(), 1, "it runs again");
    let mut config = job_config(2);
    config.queues[0].max_attempts = 1;
    world.operator_request(OperatorRequest::Configure(Box::new(config)));
    world.heartbeat(&mut worker);
    assert_eq!(world.phase(7), JobPhase::Active, "it fails with the end of a run only");
    worker.end_all(Ending::Done);
    world.heartbeat(&mut worker);
    world.heartbeat(&mut worker);
    assert_eq!(world.phase(7), JobPhase::Failed);
}
