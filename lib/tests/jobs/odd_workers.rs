//! Heartbeats of another writer: the workers beside it keep their runs and leases, and no start goes
//! to it.

use std::time::Duration;

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{
        call::OperatorRequest,
        config::{Config, Service},
        controller::{Answer, Event},
        lifecycle::JobPhase,
        model::Run,
        record::Ending,
        report::Report,
    },
    resources::Resources,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::world::{FakeWorker, World, job_config, step, task};

/// The interval of the heartbeats.
const INTERVAL: Duration = Duration::from_millis(300);

/// The last moment that a heartbeat can name.
const FAR_FUTURE: Incarnation = Incarnation(1 << 53);

/// Sends a report and returns whether it starts runs.
fn starts_runs(world: &mut World, report: Report) -> bool {
    let ticket = world.send(|ticket| Event::Heartbeat { ticket, report: Box::new(report) });
    world.response(ticket).is_some_and(|response| !response.starts.is_empty())
}

/// Regression: an entry at the place of a worker that was heard all the time took its place, and its
/// runs were started again beside those that it still had.
#[test]
fn an_odd_entry_does_not_take_the_place_of_a_worker_that_is_heard() {
    struct Case {
        name: &'static str,
        /// The odd report, made from one of the good worker.
        odd: fn(Report) -> Report,
    }
    let cases = [
        Case {
            name: "an unknown service at the worker's address",
            odd: |report| Report {
                name: "odd".into(),
                incarnation: Incarnation(report.incarnation.0 + 1),
                service: "nowhere".into(),
                ..report
            },
        },
        Case {
            name: "an unknown service under the worker's name",
            odd: |report| Report {
                incarnation: Incarnation(report.incarnation.0 + 1),
                service: "nowhere".into(),
                ..report
            },
        },
        Case {
            name: "an unknown service in the worker's incarnation",
            odd: |report| Report {
                sequence: report.sequence + 1000,
                service: "nowhere".into(),
                ..report
            },
        },
        Case {
            name: "a start in the far future at the worker's address",
            odd: |report| Report { name: "odd".into(), incarnation: FAR_FUTURE, ..report },
        },
        Case {
            name: "a start in the far future under the worker's name",
            odd: |report| Report { incarnation: FAR_FUTURE, ..report },
        },
    ];
    for case in cases {
        let mut world = World::new();
        let mut worker = FakeWorker::new("w1");
        let job = world.submit(7, vec![step(1)]);
        world.heartbeat(&mut worker).expect("a response");
        assert_eq!(worker.started, [(task(job, 0, 0), Run(1))], "{}", case.name);
        for percent in 1..40 {
            worker.percent = percent;
            world.heartbeat(&mut worker);
            let report = Report { running: Vec::new(), ..worker.clone().report() };
            let odd = (case.odd)(report);
            assert!(!starts_runs(&mut world, odd), "{}", case.name);
            world.advance(INTERVAL);
        }
        worker.end_all(Ending::Done);
        world.heartbeat(&mut worker);
        world.advance(INTERVAL);
        assert_eq!(worker.started.len(), 1, "{}: it starts once", case.name);
        assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
    }
}

/// Guards against a worker with a wrong clock that is refused for good: it is used as soon as the
/// older one at its address is silent.
#[test]
fn a_worker_with_a_clock_that_is_ahead_replaces_one_that_is_silent() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    world.heartbeat(&mut worker).expect("a response");
    let mut heir = FakeWorker { incarnation: FAR_FUTURE.0, ..worker.replaced("w2") };
    for _ in 0..10 {
        world.heartbeat(&mut heir);
        world.advance(INTERVAL);
    }
    assert_eq!(heir.started, [(task(job, 0, 0), Run(2))]);
}

/// Guards against a worker that stays unused after the configuration has named its service.
#[test]
fn a_worker_of_an_unknown_service_is_used_once_a_configuration_names_it() {
    let annex = |version| {
        let mut config = job_config(version);
        config.services.push(Service {
            name: "annex".into(),
            rejects_overload: true,
            standby: false,
        });
        config.queues[0].service = "annex".into();
        config
    };
    struct Case {
        name: &'static str,
        config: Config,
        used: bool,
    }
    let cases = [
        Case { name: "no service of this name", config: job_config(2), used: false },
        Case { name: "the service is named", config: annex(2), used: true },
    ];
    for case in cases {
        let mut world = World::new();
        let mut worker = FakeWorker::new("w1");
        world.submit(7, vec![step(1)]);
        let report =
            |worker: &mut FakeWorker| Report { service: "annex".into(), ..worker.report() };
        for _ in 0..4 {
            let report = report(&mut worker);
            assert!(!starts_runs(&mut world, report), "{}: before", case.name);
            world.advance(INTERVAL);
        }
        let ticket = world.operator_request(OperatorRequest::Configure(Box::new(case.config)));
        assert!(matches!(world.answers[&ticket], Answer::Operator(_)), "{}", case.name);
        let report = report(&mut worker);
        assert_eq!(starts_runs(&mut world, report), case.used, "{}", case.name);
    }
}

/// An odd entry beside the good workers.
#[derive(Clone, Debug)]
struct OddEntry {
    name: String,
    incarnation: u64,
    sequence: u64,
    clock: Option<u64>,
    at_good_worker: bool,
    service: String,
    centre: String,
    capacity: Resources,
    leaving: Option<u64>,
}

impl Arbitrary for OddEntry {
    fn arbitrary(g: &mut Gen) -> Self {
        let names = ["odd", "w1", "w2", "", "odd\u{0}"];
        let services = ["nowhere", "", "desk ", "DESK"];
        let numbers = [0, 1, 2, 1 << 40, FAR_FUTURE.0];
        let largest = Resources::LARGEST_WORKER;
        Self {
            name: (*g.choose(&names).unwrap_or(&"odd")).to_owned(),
            incarnation: *g.choose(&numbers).unwrap_or(&0),
            sequence: *g.choose(&numbers).unwrap_or(&0),
            clock: Option::<u64>::arbitrary(g),
            at_good_worker: bool::arbitrary(g),
            service: (*g.choose(&services).unwrap_or(&"nowhere")).to_owned(),
            centre: String::arbitrary(g),
            capacity: *g.choose(&[largest, Resources::ZERO]).unwrap_or(&largest),
            leaving: Option::<u64>::arbitrary(g),
        }
    }
}

impl OddEntry {
    fn report(&self, good: &FakeWorker) -> Report {
        let address = if self.at_good_worker { "w1" } else { "elsewhere" };
        Report {
            name: self.name.as_str().into(),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            clock: self.clock.map(Duration::from_millis),
            address: crate::world::worker_address(address),
            service: self.service.as_str().into(),
            centre: self.centre.as_str().into(),
            capacity: self.capacity,
            leaving: self.leaving,
            running: Vec::new(),
            ended: Vec::new(),
            more_ends: false,
            labels: good.labels.iter().map(|label| label.as_str().into()).collect(),
        }
    }
}

/// Whether the good workers do all jobs, each task once, while odd entries arrive.
fn jobs_are_done_once(entries: &[OddEntry]) -> Result<(), String> {
    let mut world = World::new();
    let mut workers = [FakeWorker::new("w1"), FakeWorker::new("w2")];
    let mut next = 0;
    for odd in entries.chunks(2) {
        next += 1;
        world.submit(next, vec![step(2)]);
        for entry in odd {
            if starts_runs(&mut world, entry.report(&workers[0])) {
                return Err(format!("a start went to {entry:?}"));
            }
        }
        for worker in &mut workers {
            world.heartbeat(worker);
            worker.end_all(Ending::Done);
            world.heartbeat(worker);
        }
        world.advance(INTERVAL);
    }
    for worker in &mut workers {
        world.heartbeat(worker);
        worker.end_all(Ending::Done);
        world.heartbeat(worker);
    }
    for id in 1..=next {
        if world.phase(id) != JobPhase::Completed {
            return Err(format!("job {id} isn't completed"));
        }
    }
    let started: usize = workers.iter().map(|worker| worker.started.len()).sum();
    let wanted = usize::try_from(next).map_or(0, |jobs| 2 * jobs);
    if started == wanted { Ok(()) } else { Err(format!("{started} starts, not {wanted}")) }
}

#[test]
fn good_workers_do_all_jobs_once_beside_odd_entries() {
    let property = |entries: Vec<OddEntry>| jobs_are_done_once(&entries);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 28))
        .tests(100)
        .quickcheck(property as fn(Vec<OddEntry>) -> Result<(), String>);
}
