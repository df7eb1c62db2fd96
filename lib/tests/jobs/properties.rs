//! Random events against one leader: what must hold whatever happens.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::jobs::{
    controller::Event,
    lifecycle::JobPhase,
    model::{Run, Step, TaskKey},
    record::Ending,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::world::{FakeWorker, LEASE, World, step};

/// Something that happens to one of the workers.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// Its heartbeat is answered.
    Beat(usize),
    /// Its heartbeat arrives and the answer is lost.
    Deaf(usize),
    /// Its first run ends.
    End(usize, bool),
    /// It crashes and starts again.
    Crash(usize),
    /// Time passes, in milliseconds.
    Pass(u16),
}

const WORKERS: usize = 3;

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        match u8::arbitrary(g) % 10 {
            0..=3 => Self::Beat(worker),
            4 => Self::Deaf(worker),
            5 | 6 => Self::End(worker, bool::arbitrary(g)),
            7 => Self::Crash(worker),
            _ => Self::Pass(u16::arbitrary(g) % 3000),
        }
    }
}

/// A worker with the lease that its controller gave it, by its own clock.
struct Leased {
    worker: FakeWorker,
    until: hickorylink_lib::time::Time,
}

impl Leased {
    fn expire(&mut self, now: hickorylink_lib::time::Time) {
        if now >= self.until {
            self.worker.end_all(Ending::LeaseExpired);
        }
    }
}

fn run(happenings: Vec<Happening>) -> Result<(), String> {
    let mut world = World::new();
    let job = world.submit(7, vec![step(3), Step { after: vec![0], ..step(2) }]);
    let mut workers: Vec<Leased> = (0..WORKERS)
        .map(|at| Leased { worker: FakeWorker::new(&format!("w{at}")), until: world.now })
        .collect();
    let mut done: BTreeMap<TaskKey, Run> = BTreeMap::new();
    for happening in happenings {
        match happening {
            Happening::Pass(millis) => {
                world.pass(Duration::from_millis(millis.into()));
                let now = world.now;
                workers.iter_mut().for_each(|leased| leased.expire(now));
            }
            Happening::Crash(at) => workers[at].worker = workers[at].worker.reborn(),
            Happening::End(at, well) => {
                let first = workers[at].worker.running.iter().next().map(|(t, r)| (*t, *r));
                if let Some((task, run)) = first {
                    let ending = if well { Ending::Done } else { Ending::Stopped };
                    workers[at].worker.end(task, ending);
                    if well {
                        done.entry(task).or_insert(run);
                    }
                }
            }
            Happening::Deaf(at) => {
                let report = Box::new(workers[at].worker.report());
                world.ask(|ticket| Event::Heartbeat { ticket, report });
            }
            Happening::Beat(at) => {
                let sent = world.now;
                let report = Box::new(workers[at].worker.report());
                let ticket = world.ask(|ticket| Event::Heartbeat { ticket, report });
                let orders = world.told(ticket);
                let now = world.now;
                workers.iter_mut().for_each(|leased| leased.expire(now));
                if let Some(orders) = orders {
                    workers[at].worker.obey(&orders);
                    workers[at].until = sent + orders.lease;
                }
            }
        }
        check(&workers, job)?;
    }
    Ok(())
}

fn check(workers: &[Leased], job: hickorylink_lib::jobs::model::JobId) -> Result<(), String> {
    let mut running: BTreeMap<TaskKey, &str> = BTreeMap::new();
    for leased in workers {
        let worker = &leased.worker;
        if worker.running.len() > 4 {
            return Err(format!("{} is over its capacity", worker.name));
        }
        for task in worker.running.keys() {
            if task.job != job {
                return Err(format!("{task} is no task of the job"));
            }
            if let Some(other) = running.insert(*task, &worker.name) {
                return Err(format!("{task} runs on {other} and {}", worker.name));
            }
        }
        for (at, (task, run)) in worker.started.iter().enumerate() {
            let before = worker.started[..at].iter().filter(|(other, _)| other == task);
            if before.into_iter().any(|(_, other)| other > run) {
                return Err(format!("the number of {task} fell"));
            }
        }
    }
    Ok(())
}

#[test]
fn a_task_never_runs_in_two_places() {
    fn property(happenings: Vec<Happening>) -> Result<(), String> {
        run(happenings)
    }
    QuickCheck::new().tests(150).quickcheck(property as fn(Vec<Happening>) -> Result<(), String>);
}

/// Schedules that broke a promise once.
#[test]
fn schedules_that_left_a_job_undone_are_kept() {
    struct Case {
        name: &'static str,
        happenings: Vec<Happening>,
    }
    use Happening::{Beat, Deaf, Pass};
    let cases = [Case {
        name: "an older run that is still listed hides the new one",
        happenings: vec![Beat(0), Pass(1444), Pass(1832), Pass(2149), Deaf(0)],
    }];
    for case in cases {
        assert_eq!(done_once_quiet(case.happenings), Ok(()), "{}", case.name);
    }
}

fn done_once_quiet(happenings: Vec<Happening>) -> Result<(), String> {
    let mut world = World::new();
    world.submit(7, vec![step(3), Step { after: vec![0], ..step(2) }]);
    let mut workers: Vec<_> = (0..WORKERS).map(|at| FakeWorker::new(&format!("w{at}"))).collect();
    for happening in happenings.into_iter().take(30) {
        match happening {
            Happening::Beat(at) => drop(world.beat(&mut workers[at])),
            Happening::Crash(at) => workers[at] = workers[at].reborn(),
            Happening::Deaf(at) => {
                let report = Box::new(workers[at].report());
                world.ask(|ticket| Event::Heartbeat { ticket, report });
            }
            Happening::End(at, _) => workers[at].end_all(Ending::Stopped),
            Happening::Pass(millis) => world.pass(Duration::from_millis(millis.into())),
        }
    }
    world.pass(LEASE);
    for _ in 0..40 {
        for worker in &mut workers {
            world.beat(worker);
            worker.end_all(Ending::Done);
        }
    }
    match world.phase(7) {
        JobPhase::Completed => Ok(()),
        phase => Err(format!("the job is {phase}")),
    }
}

#[test]
fn a_job_is_done_once_all_is_quiet() {
    QuickCheck::new()
        .tests(60)
        .quickcheck(done_once_quiet as fn(Vec<Happening>) -> Result<(), String>);
}
