//! Tasks that crash the workers that start them.

use std::time::Duration;

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{
        controller::{Effect, Event, LogEvent},
        lifecycle::JobPhase,
        model::{JobId, Step, StepOptions, TaskKey},
        record::Ending,
    },
};
use quickcheck::QuickCheck;

use crate::{
    cluster::{Cluster, Return},
    world::{FakeWorker, LEASE, MARGIN, World, step, task},
};

/// The number of crashes after which a job fails.
const MAX_CRASHES: usize = 3;

fn long_running(count: u32) -> Step {
    let options = StepOptions { long_running: true, disruptable: 1, ..StepOptions::default() };
    Step { options, ..step(count) }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Submits a job whose tasks crash their workers.
fn submit_deadly(cluster: &mut Cluster, id: u64, steps: Vec<Step>) {
    let job = cluster.world.submit(id, steps);
    cluster.deadly.insert(job);
}

/// Regression: a task that crashes the workers that start it was started again and again.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    struct Case {
        name: &'static str,
        returns: Return,
        downtime: Duration,
        /// The number of jobs that run beside it.
        others: u64,
        /// The controller restarts this often.
        restarts: u32,
        starts: usize,
    }
    let base = Case {
        name: "",
        returns: Return::SameName,
        downtime: seconds(3),
        others: 0,
        restarts: 0,
        starts: MAX_CRASHES,
    };
    let cases = [
        Case { name: "alone", ..base },
        Case { name: "beside others", others: 20, ..base },
        Case { name: "under new names", returns: Return::NewName, others: 20, ..base },
        // While the last crash isn't known yet, the task may be started once more.
        Case {
            name: "back after the lease",
            downtime: seconds(7),
            others: 20,
            starts: MAX_CRASHES + 1,
            ..base
        },
        // The crash of a task's first run may fall into a restart, so that it isn't counted.
        Case {
            name: "restarts of the controller",
            others: 20,
            restarts: 6,
            starts: MAX_CRASHES + 1,
            ..base
        },
    ];
    for case in cases {
        let mut cluster = Cluster::new(8);
        (cluster.returns, cluster.downtime) = (case.returns, case.downtime);
        for id in 0..case.others {
            cluster.world.submit(100 + id, vec![step(3)]);
        }
        submit_deadly(&mut cluster, 7, vec![step(1)]);
        for _ in 0..case.restarts {
            cluster.run(seconds(2));
            cluster.restart();
        }
        cluster.run(seconds(60));
        let starts = cluster.starts[&task(JobId(7), 0, 0)].len();
        assert!(starts <= case.starts, "{}: {starts} starts", case.name);
        assert_eq!(cluster.world.phase(7), JobPhase::Failed, "{}", case.name);
        for id in 0..case.others {
            assert_eq!(cluster.world.phase(100 + id), JobPhase::Completed, "{}", case.name);
        }
    }
}

/// What becomes of a worker that runs a task.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It is back under its name.
    BornAgain,
    /// It is back under another name, at the same address.
    Replaced,
    /// It is back after its lease has run out.
    BackLate,
    /// It is back, and a heartbeat of its previous incarnation arrives late.
    LateHeartbeat,
    /// It is cut off until its lease has run out, and comes back with what it ran.
    CutOff,
    /// It leaves and is back under its name.
    Left,
    /// It has said that it will leave, and is back under its name.
    Leaving,
    /// It lists the run for a second before it is back under its name.
    BornAgainLater,
}

fn wait_for_lapse(world: &mut World) {
    world.advance(LEASE + MARGIN + seconds(1));
}

/// Lets a worker start the task and meet its fate. Returns whether it got the task.
fn meet(world: &mut World, at: usize, fate: Fate) -> bool {
    let mut worker = FakeWorker::new(&format!("w{at}"));
    let end = world.now + seconds(3);
    while worker.running.is_empty() && world.now < end {
        world.advance(Duration::from_millis(20));
        world.heartbeat(&mut worker);
    }
    if worker.running.is_empty() {
        return false;
    }
    // The next incarnation takes no starts.
    let mut next = FakeWorker { leaving: Some(600_000), ..worker.restarted() };
    match fate {
        Fate::BornAgain => {}
        Fate::Replaced => next.name = format!("r{at}"),
        Fate::BackLate => wait_for_lapse(world),
        Fate::LateHeartbeat => {
            world.heartbeat(&mut next);
            let report = Box::new(worker.report());
            world.send(|ticket| Event::Heartbeat { ticket, report });
        }
        Fate::CutOff => {
            wait_for_lapse(world);
            worker.leaving = Some(600_000);
            next = worker;
        }
        Fate::Left => {
            let (name, incarnation) =
                (worker.name.as_str().into(), Incarnation(worker.incarnation));
            let (incarnation, ended) = (Some(incarnation), Vec::new());
            world.send(|ticket| Event::Leave { ticket, name, incarnation, ended });
            world.advance(seconds(1));
            world.heartbeat(&mut next);
            // Its task starts again once its lease has run out.
            wait_for_lapse(world);
        }
        Fate::Leaving => {
            worker.leaving = Some(2000);
            world.heartbeat(&mut worker);
        }
        Fate::BornAgainLater => {
            let end = world.now + seconds(1);
            while world.now < end {
                world.advance(Duration::from_millis(20));
                world.heartbeat(&mut worker);
            }
        }
    }
    world.heartbeat(&mut next);
    true
}

/// Regression: only crashes count, each of them once, and only against a run that hadn't settled.
#[test]
fn a_crash_is_attributed_to_the_runs_that_had_not_settled() {
    use Fate::{
        BackLate, BornAgain, BornAgainLater, CutOff, LateHeartbeat, Leaving, Left, Replaced,
    };
    struct Case {
        name: &'static str,
        fates: Vec<Fate>,
        want: JobPhase,
    }
    let (failed, active) = (JobPhase::Failed, JobPhase::Active);
    let cases = [
        Case { name: "born again", fates: vec![BornAgain; 3], want: failed },
        Case { name: "born again twice", fates: vec![BornAgain; 2], want: active },
        Case { name: "replaced", fates: vec![Replaced; 3], want: failed },
        Case { name: "back after the lease", fates: vec![BackLate; 3], want: failed },
        Case { name: "mixed", fates: vec![BornAgain, Replaced, BackLate], want: failed },
        Case { name: "late heartbeats", fates: vec![LateHeartbeat; 2], want: active },
        Case { name: "late heartbeats of three", fates: vec![LateHeartbeat; 3], want: failed },
        Case { name: "cut off", fates: vec![CutOff; 6], want: active },
        Case { name: "left", fates: vec![Left; 6], want: active },
        Case { name: "leaving", fates: vec![Leaving; 6], want: active },
        Case { name: "settled", fates: vec![BornAgainLater; 6], want: active },
        Case {
            name: "settled in between",
            fates: vec![BornAgain, BornAgain, BornAgainLater, BornAgain, BornAgain],
            want: active,
        },
    ];
    for case in cases {
        let mut world = World::new();
        world.submit(7, vec![step(1)]);
        for (at, fate) in case.fates.iter().enumerate() {
            assert!(meet(&mut world, at, *fate), "{}: no start {at}", case.name);
        }
        assert_eq!(world.phase(7), case.want, "{}", case.name);
    }
}

/// Regression: the count of crashes doesn't depend on which controller saw them.
#[test]
fn crash_counts_survive_restarts_of_the_controller() {
    struct Case {
        name: &'static str,
        /// The controller restarts after this number of crashes.
        after: usize,
    }
    let cases =
        [Case { name: "after one crash", after: 1 }, Case { name: "after two crashes", after: 2 }];
    for case in cases {
        let mut world = World::new();
        world.submit(7, vec![step(1)]);
        for at in 0..MAX_CRASHES {
            if at == case.after {
                world.restart();
            }
            assert!(meet(&mut world, at, Fate::BornAgain), "{}: no start {at}", case.name);
        }
        assert_eq!(world.phase(7), JobPhase::Failed, "{}", case.name);
        world.restart();
        assert_eq!(world.phase(7), JobPhase::Failed, "{}", case.name);
    }
}

/// Regression: a job that had nothing to do with the crashes must not fail.
#[test]
fn innocent_tasks_survive_crashes_of_many_workers() {
    struct Case {
        name: &'static str,
        /// When all machines crash, in milliseconds after the start.
        crashes: &'static [u64],
        deadly: u64,
    }
    let cases = [
        Case { name: "one crash", crashes: &[300], deadly: 0 },
        Case { name: "two crashes", crashes: &[300, 4500], deadly: 0 },
        Case { name: "two crashes and deadly tasks", crashes: &[300, 4500], deadly: 3 },
        Case { name: "deadly tasks", crashes: &[], deadly: 5 },
    ];
    for case in cases {
        let mut cluster = Cluster::new(8);
        for id in 0..8 {
            cluster.world.submit(100 + id, vec![step(4), Step { after: vec![0], ..step(2) }]);
        }
        for id in 0..case.deadly {
            submit_deadly(&mut cluster, 200 + id, vec![step(2)]);
        }
        let begin = cluster.world.now;
        for at in case.crashes {
            let until = begin + Duration::from_millis(*at);
            cluster.run(cluster.world.now.until(until));
            (0..8).for_each(|machine| cluster.crash(machine));
        }
        cluster.run(seconds(90));
        for id in 0..8 {
            let phase = cluster.world.phase(100 + id);
            assert_eq!(phase, JobPhase::Completed, "{}: job {id}", case.name);
        }
        for id in 0..case.deadly {
            let phase = cluster.world.phase(200 + id);
            assert_eq!(phase, JobPhase::Failed, "{}: deadly job {id}", case.name);
        }
    }
}

/// Regression: a task that had crashed a worker was started among others, which it took along.
#[test]
fn a_suspect_runs_without_other_unsettled_runs() {
    let mut world = World::new();
    let suspect = task(JobId(7), 0, 0);
    let (mut crashed, mut first, mut second) =
        (FakeWorker::new("w0"), FakeWorker::new("w1"), FakeWorker::new("w2"));
    world.submit(8, vec![long_running(1)]);
    let settled = world.now + seconds(2);
    while world.now < settled {
        world.advance(Duration::from_millis(20));
        world.heartbeat(&mut first);
    }
    second.sequence = first.sequence;
    world.submit(7, vec![step(1)]);
    world.heartbeat(&mut crashed);
    assert!(crashed.running.contains_key(&suspect), "the suspect has run");
    let tickets = [&mut first, &mut second].map(|worker| {
        let report = Box::new(worker.report());
        world.send(|ticket| Event::Heartbeat { ticket, report })
    });
    let mut next = FakeWorker { leaving: Some(600_000), ..crashed.restarted() };
    world.heartbeat(&mut next);
    for (worker, ticket) in [&mut first, &mut second].into_iter().zip(tickets) {
        worker.apply(&world.response(ticket).expect("a response"));
    }
    assert_eq!(first.running.len(), 1, "the worker with the fewest runs is preferred");
    assert_eq!(second.running.keys().copied().collect::<Vec<_>>(), [suspect]);
    world.submit(9, vec![step(5)]);
    let begin = world.now;
    while world.now < begin + Duration::from_millis(400) {
        world.advance(Duration::from_millis(20));
        world.heartbeat(&mut second);
        assert_eq!(second.running.len(), 1, "nothing starts beside an unsettled suspect");
    }
    while world.now < begin + seconds(2) {
        world.advance(Duration::from_millis(20));
        world.heartbeat(&mut second);
    }
    assert!(second.running.len() > 1, "other tasks start once the suspect has settled");
}

/// Guards against innocents that stay suspects because they share their probation with the task that
/// crashes the workers.
#[test]
fn suspects_that_share_a_probation_are_told_apart() {
    struct Case {
        name: &'static str,
        machines: usize,
        /// The number of long-running tasks beside the one that crashes the workers.
        innocents: u32,
    }
    let cases = [
        Case { name: "all on one worker", machines: 1, innocents: 3 },
        Case { name: "a few workers", machines: 3, innocents: 8 },
        Case { name: "many workers", machines: 8, innocents: 20 },
    ];
    for case in cases {
        let mut cluster = Cluster::new(case.machines);
        cluster.downtime = seconds(1);
        let job = cluster.world.submit(8, vec![long_running(case.innocents)]);
        cluster.lasting.insert(job);
        submit_deadly(&mut cluster, 7, vec![long_running(1)]);
        cluster.run(seconds(20));
        let crashes = &cluster.world.controller.committed().crashes;
        let deadly = crashes.of(&task(JobId(7), 0, 0));
        assert!(deadly as usize >= MAX_CRASHES, "{}: {deadly} crashes", case.name);
        for index in 0..case.innocents {
            let key = task(job, 0, index);
            assert_eq!(crashes.of(&key), 0, "{}: {key}", case.name);
        }
    }
}

/// Guards against innocent tasks that are given up: a worker that goes down again and again is empty
/// each time it comes up.
#[test]
fn a_suspect_avoids_workers_that_have_just_come_up() {
    struct Case {
        name: &'static str,
        heartbeats: u64,
        want: usize,
    }
    let cases = [
        Case { name: "just up", heartbeats: 1, want: 0 },
        Case { name: "established", heartbeats: 100, want: 1 },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut busy, mut crashed) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        busy.sequence = 100;
        world.submit(8, vec![long_running(1)]);
        let settled = world.now + seconds(2);
        while world.now < settled {
            world.advance(Duration::from_millis(20));
            world.heartbeat(&mut busy);
        }
        world.submit(7, vec![step(1)]);
        world.heartbeat(&mut crashed);
        assert_eq!(crashed.running.len(), 1, "{}", case.name);
        let report = Box::new(busy.report());
        let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
        let mut empty = FakeWorker { sequence: case.heartbeats, ..crashed.restarted() };
        world.heartbeat(&mut empty);
        busy.apply(&world.response(ticket).expect("a response"));
        assert_eq!(empty.running.len(), case.want, "{}", case.name);
    }
}

/// Regression: a suspect must find a place although all workers get new tasks all the time, and
/// must not take any of these along.
#[test]
fn a_suspect_finds_a_place_among_busy_workers() {
    struct Case {
        name: &'static str,
        step: Step,
    }
    let gang = StepOptions { gang: true, ..StepOptions::default() };
    let cases = [
        Case { name: "a task", step: step(1) },
        Case { name: "several tasks", step: step(3) },
        Case { name: "a gang", step: Step { options: gang, ..step(2) } },
    ];
    for case in cases {
        let mut cluster = Cluster::new(6);
        cluster.duration = Duration::from_millis(300);
        for id in 0..150 {
            cluster.world.submit(1000 + id, vec![step(3)]);
        }
        submit_deadly(&mut cluster, 7, vec![case.step]);
        cluster.run(seconds(40));
        assert_eq!(cluster.world.phase(7), JobPhase::Failed, "{}", case.name);
        assert!(cluster.taken_along.len() <= 2, "{}: {:?}", case.name, cluster.taken_along);
        let open = (0..150).filter(|id| cluster.world.phase(1000 + id) != JobPhase::Completed);
        assert_eq!(open.collect::<Vec<_>>(), [0_u64; 0], "{}", case.name);
    }
}

/// Regression: a long-running task that crashes its workers isn't given up, but it must not keep
/// the workers down.
#[test]
fn starts_of_a_long_running_task_get_rarer() {
    let mut cluster = Cluster::new(4);
    cluster.downtime = seconds(1);
    submit_deadly(&mut cluster, 7, vec![long_running(1)]);
    cluster.run(seconds(120));
    assert_eq!(cluster.world.phase(7), JobPhase::Active);
    let starts = &cluster.starts[&task(JobId(7), 0, 0)];
    let gaps: Vec<_> = starts.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(gaps.len() >= MAX_CRASHES + 2, "{gaps:?}");
    let rarer = gaps[MAX_CRASHES - 1..].windows(2).all(|pair| pair[1] >= pair[0] * 3 / 2);
    assert!(rarer, "{gaps:?}");
    cluster.deadly.clear();
    cluster.lasting.insert(JobId(7));
    cluster.run(seconds(400));
    let starts = cluster.starts[&task(JobId(7), 0, 0)].len();
    cluster.run(seconds(60));
    assert_eq!(cluster.starts[&task(JobId(7), 0, 0)].len(), starts, "it runs at last");
}

/// Regression: a new leader started a long-running task at once that had crashed its workers.
#[test]
fn a_new_leader_delays_a_long_running_task_too() {
    struct Case {
        name: &'static str,
        wait: Duration,
        want: usize,
    }
    let cases = [
        Case { name: "within the delay", wait: seconds(8), want: MAX_CRASHES },
        Case { name: "after the delay", wait: seconds(14), want: MAX_CRASHES + 1 },
    ];
    for case in cases {
        let mut cluster = Cluster::new(4);
        cluster.downtime = seconds(1);
        submit_deadly(&mut cluster, 7, vec![long_running(1)]);
        let key = task(JobId(7), 0, 0);
        while cluster.starts.get(&key).map_or(0, Vec::len) < MAX_CRASHES {
            cluster.run(Duration::from_millis(100));
        }
        cluster.run(seconds(2));
        cluster.restart();
        cluster.run(case.wait);
        assert_eq!(cluster.starts[&key].len(), case.want, "{}", case.name);
    }
}

/// Regression: the members of a gang on other workers weren't there when a worker crashed.
#[test]
fn only_the_gang_members_on_the_crashed_worker_are_blamed() {
    let mut world = World::new();
    let gang = StepOptions { gang: true, ..StepOptions::default() };
    world.submit(7, vec![Step { options: gang, spread: Some(1), ..step(2) }]);
    let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
    while first.running.is_empty() || second.running.is_empty() {
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
    }
    let blamed: Vec<TaskKey> = first.running.keys().copied().collect();
    world.heartbeat(&mut first.restarted());
    second.end_all(Ending::GangBroken);
    world.heartbeat(&mut second);
    let want: Vec<_> = blamed.iter().map(|task| (task.to_string(), 1)).collect();
    assert_eq!(crashes(&world), [("w1".to_owned(), want)]);
}

/// Guards against gangs that never start again after a crash: their members can't each run without
/// other unsettled runs.
#[test]
fn a_gang_of_suspects_starts_again_as_a_whole() {
    let mut world = World::new();
    let gang = StepOptions { gang: true, ..StepOptions::default() };
    world.submit(7, vec![Step { options: gang, ..step(6) }]);
    let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
    while first.running.len() + second.running.len() < 6 {
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
    }
    let mut restarted = first.restarted();
    world.heartbeat(&mut restarted);
    second.end_all(Ending::GangBroken);
    let end = world.now + seconds(3);
    while world.now < end && restarted.running.len() + second.running.len() < 6 {
        world.heartbeat(&mut second);
        world.heartbeat(&mut restarted);
    }
    assert_eq!(restarted.running.len() + second.running.len(), 6);
}

/// The crashes that were logged, with the tasks that are blamed.
fn crashes(world: &World) -> Vec<(String, Vec<(String, u32)>)> {
    let events = world.sent.iter().filter_map(|effect| match effect {
        Effect::LogEvent(LogEvent::Crash { worker, suspects }) => {
            Some((worker.clone(), suspects.clone()))
        }
        Effect::LogEvent(_)
        | Effect::Send { .. }
        | Effect::Store(_)
        | Effect::Answer { .. }
        | Effect::MayStop { .. } => None,
    });
    events.collect()
}

/// Regression: nothing in the log led from a failed job to the crashed workers.
#[test]
fn the_log_leads_from_a_failed_job_to_its_crashes() {
    let mut world = World::new();
    world.submit(7, vec![step(1)]);
    for at in 0..MAX_CRASHES {
        assert!(meet(&mut world, at, Fate::BornAgain));
    }
    let key = task(JobId(7), 0, 0).to_string();
    let want: Vec<_> =
        (0..3).zip(1..).map(|(at, count)| (format!("w{at}"), vec![(key.clone(), count)])).collect();
    assert_eq!(crashes(&world), want);
    let given_up = Effect::LogEvent(LogEvent::GivenUp { task: key, crashes: 3 });
    assert!(world.sent.iter().any(|effect| format!("{effect:?}") == format!("{given_up:?}")));
}

/// A cluster with deadly tasks, random crashes and restarts of the controller.
fn survives(events: Vec<(u8, u16)>) -> Result<(), String> {
    let mut cluster = Cluster::new(6);
    for id in 0..6 {
        cluster.world.submit(100 + id, vec![step(3), Step { after: vec![0], ..step(2) }]);
        cluster.run(Duration::from_millis(100));
    }
    for id in 0..3 {
        submit_deadly(&mut cluster, 200 + id, vec![step(1)]);
    }
    let mut crashed = 0;
    for (kind, wait) in events.into_iter().take(8) {
        match kind % 8 {
            7 => cluster.restart(),
            machine => {
                crashed += 1;
                cluster.crash(usize::from(machine) % 6);
            }
        }
        cluster.run(Duration::from_millis(u64::from(wait % 3000)));
    }
    cluster.run(seconds(60));
    for id in 0..6 {
        let phase = cluster.world.phase(100 + id);
        // A deadly task takes another one along at most once, before it is a suspect.
        let hit = crashed + 1 >= MAX_CRASHES && phase == JobPhase::Failed;
        if phase != JobPhase::Completed && !hit {
            return Err(format!("job {id} is {phase}"));
        }
    }
    for id in 0..3 {
        // A start that was sent to a worker that had just crashed is received by nobody.
        let starts = cluster.starts.get(&task(JobId(200 + id), 0, 0)).map_or(0, Vec::len);
        let phase = cluster.world.phase(200 + id);
        if phase != JobPhase::Failed || starts > MAX_CRASHES + 1 {
            return Err(format!("deadly job {id} is {phase} after {starts} starts"));
        }
    }
    Ok(())
}

#[test]
fn deadly_tasks_are_given_up_and_others_complete() {
    QuickCheck::new().tests(25).quickcheck(survives as fn(Vec<(u8, u16)>) -> Result<(), String>);
}
