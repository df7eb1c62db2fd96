//! Waits for better placements: the decision, and patterns of load.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        controller::LogEvent,
        fleet::RunView,
        locality::{
            Choice, Decision, Locality, Reason, forecast::expected_end, racks::RackForm, wait_end,
            waits::Reliability,
        },
        model::{JobId, Label, Run, Step, StepOptions},
    },
    time::Time,
};

use crate::{
    locality_model::{Model, near, on_rack},
    world::{FakeWorker, World, step},
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A task away from whose rack a run takes 2 s longer, with room expected in half a second.
const CHOICE: Choice = Choice {
    now: Time::from_millis(1000),
    until: Time::from_millis(3000),
    expected: Some(Time::from_millis(1500)),
    right: 0.75,
    surplus: Duration::from_secs(2),
    slack_ms: 60_000,
    queued: false,
};

/// Guards against waits that can't pay, and against starts away from the data that a short wait would spare.
#[test]
fn a_choice_weighs_the_wait_against_the_longer_run() {
    struct Case {
        name: &'static str,
        choice: Choice,
        want: Decision,
    }
    let wait = Decision::Wait(CHOICE.until);
    let not_worth = Decision::Take(Reason::NotWorth);
    let cases = [
        Case { name: "room comes soon", choice: CHOICE, want: wait },
        Case {
            name: "the wait has ended",
            choice: Choice { now: at(3000), ..CHOICE },
            want: Decision::Take(Reason::Expired),
        },
        Case {
            name: "no room is expected",
            choice: Choice { expected: None, ..CHOICE },
            want: Decision::Take(Reason::Lost),
        },
        Case {
            name: "room comes after the end",
            choice: Choice { expected: Some(at(3001)), ..CHOICE },
            want: Decision::Take(Reason::TooLate),
        },
        Case {
            name: "room should have come already",
            choice: Choice { expected: Some(at(500)), ..CHOICE },
            want: wait,
        },
        Case {
            name: "room comes late within the wait",
            choice: Choice { expected: Some(at(2900)), ..CHOICE },
            want: not_worth,
        },
        Case {
            name: "the same while others wait for the free room",
            choice: Choice { expected: Some(at(2900)), queued: true, ..CHOICE },
            want: wait,
        },
        Case {
            name: "expectations were wrong",
            choice: Choice { right: 0.3, ..CHOICE },
            want: not_worth,
        },
        Case {
            name: "a run elsewhere ends just in time",
            choice: Choice { right: 0.6, slack_ms: 2000, ..CHOICE },
            want: not_worth,
        },
        Case {
            name: "the same with time to spare",
            choice: Choice { right: 0.6, ..CHOICE },
            want: wait,
        },
    ];
    for case in cases {
        assert_eq!(case.choice.decide(), case.want, "{}", case.name);
    }
}

/// Guards against ends that a change of the leader puts off.
#[test]
fn the_end_of_a_wait_is_bounded() {
    struct Case {
        name: &'static str,
        age: Option<u64>,
        /// The time from now until the end, in milliseconds.
        want: u64,
    }
    let cases = [
        Case { name: "a new wait", age: None, want: 2000 },
        Case { name: "begun by an earlier leader", age: Some(700), want: 1300 },
        Case { name: "ended under an earlier leader", age: Some(2500), want: 0 },
    ];
    for case in cases {
        let end = wait_end(at(50_000), ms(2000), case.age.map(ms));
        assert_eq!(end, at(50_000 + case.want), "{}", case.name);
    }
    let locality = Locality { remote_factor: 3.0, max_wait: ms(5000) };
    assert_eq!(locality.longest_wait(ms(700)), ms(1400), "what a wait can save");
    assert_eq!(locality.longest_wait(ms(7000)), ms(5000), "the setting");
    assert_eq!(locality.longest_wait(Duration::MAX), ms(5000), "an estimate without bounds");
}

/// Guards against expectations that hold on to an estimate which the run's progress contradicts.
#[test]
fn the_end_of_a_run_follows_from_its_progress() {
    struct Case {
        name: &'static str,
        percent: u8,
        progressed_at: u64,
        restored: bool,
        now: u64,
        factor: f64,
        want: u64,
    }
    let base = Case {
        name: "without progress",
        percent: 1,
        progressed_at: 1010,
        restored: false,
        now: 1100,
        factor: 1.0,
        want: 2000,
    };
    let cases = [
        Case { name: "away from its data", factor: 3.0, want: 4000, ..base },
        Case { name: "overdue", now: 2600, want: 3200, ..base },
        Case { name: "just overdue", now: 2010, want: 2110, ..base },
        Case {
            name: "slower than estimated",
            percent: 25,
            progressed_at: 1475,
            now: 1500,
            want: 2900,
            ..base
        },
        Case {
            name: "slower so far",
            percent: 10,
            progressed_at: 1190,
            now: 1200,
            want: 2225,
            ..base
        },
        Case {
            name: "faster than estimated",
            percent: 50,
            progressed_at: 1080,
            want: 1160,
            ..base
        },
        Case {
            name: "started by an earlier leader",
            percent: 40,
            progressed_at: 1050,
            restored: true,
            want: 1650,
            ..base
        },
        base,
    ];
    for case in cases {
        let view = RunView {
            percent: case.percent,
            progressed_at: at(case.progressed_at),
            restored: case.restored,
            ..RunView::new(&step(1), Run(1), at(1000))
        };
        let end = expected_end(&view, at(case.now), case.factor);
        assert_eq!(end, Some(at(case.want)), "{}", case.name);
    }
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    let view = RunView::new(&Step { options, ..step(1) }, Run(1), at(1000));
    assert_eq!(expected_end(&view, at(1100), 1.0), None, "a task that lasts");
}

/// Guards against a rack that isn't waited for ever again after expectations of it were wrong.
#[test]
fn outcomes_are_learned_and_fade() {
    let mut known = Reliability::default();
    assert!((known.share(at(0)) - 0.75).abs() < 1e-9);
    for _ in 0..10 {
        known.record(at(0), false);
    }
    assert!(known.share(at(0)) < 0.2, "{}", known.share(at(0)));
    assert!(known.share(at(120_000)) > 0.5, "{}", known.share(at(120_000)));
    for _ in 0..20 {
        known.record(at(120_000), true);
    }
    assert!(known.share(at(120_000)) > 0.9, "{}", known.share(at(120_000)));
}

/// Guards against gangs that gather by a label that isn't a rack.
#[test]
fn racks_are_found_by_the_form_of_their_labels() {
    struct Case {
        name: &'static str,
        workers: &'static [&'static [&'static str]],
        /// The rack of the first worker.
        want: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "two racks",
            workers: &[&["a", "r1"], &["r1", "b"], &["r2"], &["r2", "a"]],
            want: Some("r1"),
        },
        Case {
            name: "racks and data centres",
            workers: &[
                &["dc1", "r1-1"],
                &["dc1", "r1-1"],
                &["dc1", "r1-2"],
                &["dc1", "r1-2"],
                &["dc2", "r2-1"],
                &["dc2", "r2-1"],
            ],
            want: Some("r1-1"),
        },
        Case {
            name: "names of workers",
            workers: &[&["w1", "r1"], &["w2", "r1"], &["w3", "r2"], &["w4", "r2"]],
            want: Some("r1"),
        },
        Case {
            name: "a label that some workers lack",
            workers: &[&["gpu1"], &["gpu1"], &["gpu2"], &["gpu2"], &[]],
            want: None,
        },
        Case { name: "one rack", workers: &[&["r1"], &["r1"]], want: None },
        Case { name: "no workers", workers: &[], want: None },
    ];
    for case in cases {
        let labels = |names: &&[&str]| names.iter().map(|name| Label::from(*name)).collect();
        let workers: Vec<Vec<Label>> = case.workers.iter().map(labels).collect();
        let form = RackForm::infer(workers.iter().map(Vec::as_slice));
        let found = workers.first().and_then(|labels| form.rack(labels));
        assert_eq!(found.map(|rack| rack.as_str()), case.want, "{}", case.name);
    }
}

const ON: Locality = Locality { remote_factor: 3.0, max_wait: Duration::from_secs(10) };

/// Two racks with two workers each.
fn racks(processors: u64) -> Vec<FakeWorker> {
    let names = [("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];
    names.iter().map(|(name, rack)| on_rack(name, rack, processors)).collect()
}

/// A model whose rack `r1` is full with eight tasks that take this time, as estimated.
fn hot(locality: Locality, estimate: u64, work: u64) -> Model {
    let mut model = Model::new(World::with_locality(locality), 3.0, racks(4));
    model.progress = false;
    let only = Step { label: Some("r1".into()), ..near(8, "r1", estimate) };
    model.submit(1, only, work);
    model.run(ms(200));
    assert_eq!(model.started.len(), 8, "the rack is full");
    model
}

fn waits(model: &Model) -> Vec<(usize, String, u64)> {
    let waits = model.log_events().filter_map(|event| match event {
        LogEvent::NearWait { tasks, rack, until_ms, .. } => Some((*tasks, rack.clone(), *until_ms)),
        _ => None,
    });
    waits.collect()
}

/// How many tasks of each wait started near and far, and why.
fn outcomes(model: &Model) -> Vec<(u32, u32, Option<&'static str>)> {
    let ended = model.log_events().filter_map(|event| match event {
        LogEvent::NearWaitEnded { near, far, reason, .. } => Some((*near, *far, *reason)),
        _ => None,
    });
    ended.collect()
}

/// Pattern: a hot rack, whose runs end soon or late, beside a rack that is idle.
#[test]
fn a_task_waits_for_a_hot_rack_if_its_runs_end_soon() {
    struct Case {
        name: &'static str,
        locality: Locality,
        /// When the runs on the rack end.
        work: u64,
        near: bool,
        /// The earliest and the latest start, in milliseconds.
        want: (u64, u64),
    }
    let short = Locality { max_wait: ms(300), ..ON };
    let low = Locality { remote_factor: 1.2, ..ON };
    let cases = [
        Case { name: "they end soon", locality: ON, work: 900, near: true, want: (500, 900) },
        Case {
            name: "without waits",
            locality: Locality::OFF,
            work: 900,
            near: false,
            want: (0, 200),
        },
        Case { name: "they end late", locality: ON, work: 9000, near: false, want: (0, 200) },
        Case {
            name: "beyond the setting",
            locality: short,
            work: 900,
            near: false,
            want: (0, 200),
        },
        Case { name: "a low factor", locality: low, work: 900, near: false, want: (0, 200) },
    ];
    for case in cases {
        let mut model = hot(case.locality, case.work, case.work);
        let job = model.submit(2, near(1, "r1", 1000), 1000);
        model.run(ms(4000));
        let (after, is_near) = model.starts(job)[0];
        assert_eq!(is_near, case.near, "{}", case.name);
        let (first, last) = case.want;
        assert!((ms(first)..=ms(last)).contains(&after), "{}: {after:?}", case.name);
        let waits = waits(&model);
        assert_eq!(waits.len(), usize::from(case.near), "{}: {waits:?}", case.name);
        if let [(tasks, rack, until)] = &waits[..] {
            assert_eq!((*tasks, rack.as_str()), (1, "r1"), "{}", case.name);
            assert!((1..=2000).contains(until), "{}: {until}", case.name);
            assert_eq!(outcomes(&model), [(1, 0, None)], "{}", case.name);
        }
    }
}

/// Guards against waits that end when a service that is mostly idle may start a task at any pace, which only
/// matters for opportunistic tasks.
#[test]
fn an_idle_service_does_not_end_a_wait() {
    let mut workers = racks(4);
    workers.extend((5..9).map(|at| on_rack(&format!("w{at}"), "r2", 4)));
    let mut model = Model::new(World::with_locality(ON), 3.0, workers);
    let only = Step { label: Some("r1".into()), ..near(8, "r1", 4000) };
    model.submit(1, only, 4000);
    model.run(ms(200));
    let job = model.submit(2, near(1, "r1", 5000), 5000);
    model.run(ms(6000));
    let starts = model.starts(job);
    assert!(matches!(starts[..], [(_, true)]), "{starts:?}");
}

/// Pattern: a burst for one rack that is larger than what becomes free there in time. The tasks for which room
/// comes too late don't wait.
#[test]
fn a_burst_waits_only_for_the_room_that_comes_in_time() {
    let mut model = hot(ON, 900, 900);
    let job = model.submit(2, near(12, "r1", 1000), 1000);
    model.run(ms(200));
    let starts = model.starts(job);
    assert_eq!(starts.len(), 4, "four of twelve don't wait: {starts:?}");
    assert!(starts.iter().all(|(_, near)| !near), "{starts:?}");
    model.run(ms(8000));
    let starts = model.starts(job);
    assert_eq!(starts.iter().filter(|(_, near)| *near).count(), 8, "{starts:?}");
    // A second burst finds the rack claimed by the first.
    let mut model = hot(ON, 900, 900);
    model.submit(2, near(8, "r1", 1000), 1000);
    model.run(ms(40));
    let second = model.submit(3, near(8, "r1", 1000), 1000);
    model.run(ms(200));
    assert_eq!(model.starts(second).len(), 8, "the second burst doesn't wait");
}

/// Pattern: estimates that are off by 0.9, in both directions. No task waits past the end of its wait, and
/// what was learned shortens later waits.
#[test]
fn wrong_estimates_cost_at_most_the_wait() {
    struct Case {
        name: &'static str,
        /// How long the runs on the rack take that were estimated to take 1 s.
        work: u64,
        near: bool,
    }
    let cases = [
        Case { name: "a tenth", work: 300, near: true },
        Case { name: "1.5 times", work: 1500, near: true },
        // They are given up when they are overdue by as much as is left of the wait.
        Case { name: "1.9 times", work: 1900, near: false },
        Case { name: "never", work: 60_000, near: false },
    ];
    for case in cases {
        let mut model = hot(ON, 1000, case.work);
        let job = model.submit(2, near(1, "r1", 1000), 1000);
        model.run(ms(6000));
        let (after, is_near) = model.starts(job)[0];
        assert_eq!(is_near, case.near, "{}: {after:?}", case.name);
        // Twice the work of the task, and a turn.
        assert!(after <= ms(2100), "{}: {after:?}", case.name);
    }
    let mut model = hot(ON, 1000, 60_000);
    let mut waited = Vec::new();
    for id in 2..12 {
        let job = model.submit(id, near(1, "r1", 1000), 1000);
        model.run(ms(3500));
        waited.push(model.starts(job)[0].0);
    }
    let (first, last) = (waited[0], waited[9]);
    assert!(first > ms(400) && last < ms(200), "{waited:?}");
}

/// Pattern: the rack dies while a task waits for it. The wait ends once the workers aren't live any more.
#[test]
fn the_loss_of_the_rack_ends_the_wait() {
    let mut model = hot(ON, 4000, 4000);
    let job = model.submit(2, near(1, "r1", 5000), 5000);
    model.run(ms(300));
    assert_eq!(model.starts(job), [], "it waits");
    for worker in model.workers.iter_mut().filter(|worker| worker.fake.labels[1] == "r1") {
        worker.dead = true;
    }
    model.run(ms(2500));
    let starts = model.starts(job);
    assert!(matches!(starts[..], [(_, false)]), "{starts:?}");
    assert_eq!(outcomes(&model), [(0, 1, Some("lost"))]);
}

/// Pattern: the room near the data goes to others, again and again.
#[test]
fn room_that_goes_to_others_ends_the_wait_in_time() {
    let mut model = hot(ON, 900, 900);
    let job = model.submit(2, near(1, "r1", 1000), 1000);
    model.run(ms(100));
    for id in 3..60 {
        // Smaller jobs, which are placed first.
        let only = Step { label: Some("r1".into()), ..near(1, "r1", 900) };
        model.submit(id, only, 900);
        model.run(ms(40));
    }
    model.run(ms(3000));
    let (after, is_near) = model.starts(job)[0];
    assert!(!is_near && after <= ms(2100), "{after:?}");
}

/// Pattern: a change of the leader in the middle of a wait. The wait goes on, and its end stays.
#[test]
fn a_new_leader_neither_forgets_nor_doubles_a_wait() {
    struct Case {
        name: &'static str,
        /// When the runs on the rack end that were estimated to take 5 s.
        work: u64,
        near: bool,
    }
    let cases = [
        Case { name: "room comes", work: 5000, near: true },
        Case { name: "room doesn't come", work: 60_000, near: false },
    ];
    for case in cases {
        let mut model = hot(ON, 5000, case.work);
        let job = model.submit(2, near(1, "r1", 5000), 5000);
        model.run(ms(300));
        assert_eq!(model.starts(job), [], "{}: it waits", case.name);
        let key = hickorylink_lib::jobs::model::StepKey { job, occurrence: 0, step: 0 };
        let leader = model.world.controller.leader().expect("it leads");
        let until = leader.near_wait_end(&key).expect("it waits");
        model.change_leader();
        assert!(model.world.now < until, "{}: the wait hasn't ended", case.name);
        model.run(ms(300));
        let leader = model.world.controller.leader().expect("it leads");
        let later = leader.near_wait_end(&key).expect("it still waits");
        assert!(later <= until, "{}: {later:?} after {until:?}", case.name);
        model.run(ms(12_000));
        let started = model.started.iter().find(|started| started.task.job == job);
        let started = started.expect("it starts");
        assert_eq!(started.near, case.near, "{}", case.name);
        assert!(started.at <= until + ms(100), "{}: {started:?}, {until:?}", case.name);
    }
}

fn gang(count: u32) -> Step {
    let options = StepOptions { gang: true, rack_sensitive: true, ..StepOptions::default() };
    Step { options, ..step(count) }
}

/// The racks on which the members of a job started, and when the first of them did.
fn gang_racks(model: &Model, job: JobId) -> (Vec<String>, Duration) {
    let own: Vec<_> = model.started.iter().filter(|started| started.task.job == job).collect();
    let rack = |name: &str| {
        let worker = model.workers.iter().find(|worker| worker.fake.name == name);
        worker.expect("a worker").fake.labels[1].clone()
    };
    let mut racks: Vec<_> = own.iter().map(|started| rack(&started.worker)).collect();
    racks.sort();
    racks.dedup();
    let first = own.iter().map(|started| started.at).min().expect("it starts");
    (racks, first.since(model.submitted[&job]))
}

/// Pattern: a rack-sensitive gang, with room on one rack, on several, or later on one.
#[test]
fn the_members_of_a_gang_gather_on_one_rack() {
    struct Case {
        name: &'static str,
        locality: Locality,
        /// The tasks that take room on each rack, and for how long.
        taken: [(u32, u64); 2],
        racks: &'static [&'static str],
        /// The earliest and the latest start, in milliseconds.
        want: (u64, u64),
    }
    let cases = [
        Case {
            name: "room on both racks",
            locality: ON,
            taken: [(4, 9000), (3, 9000)],
            racks: &["r1"],
            want: (0, 300),
        },
        Case {
            name: "room on one rack",
            locality: ON,
            taken: [(6, 9000), (1, 9000)],
            racks: &["r2"],
            want: (0, 300),
        },
        Case {
            name: "soon on one rack",
            locality: ON,
            taken: [(6, 9000), (5, 1000)],
            racks: &["r2"],
            want: (400, 1000),
        },
        Case {
            name: "late on one rack",
            locality: ON,
            taken: [(6, 9000), (5, 9000)],
            racks: &["r1", "r2"],
            want: (0, 300),
        },
        Case {
            name: "without waits",
            locality: Locality::OFF,
            taken: [(6, 9000), (5, 1000)],
            racks: &["r1", "r2"],
            want: (0, 300),
        },
    ];
    for case in cases {
        let mut model = Model::new(World::with_locality(case.locality), 3.0, racks(4));
        for ((id, rack), (count, work)) in [(1, "r1"), (2, "r2")].into_iter().zip(case.taken) {
            model.submit(id, Step { label: Some(rack.into()), ..near(count, rack, work) }, work);
        }
        model.run(ms(200));
        let job = model.submit(3, Step { estimate: 1000, ..gang(4) }, 1000);
        model.run(ms(4000));
        let (racks, after) = gang_racks(&model, job);
        assert_eq!(racks, case.racks, "{}", case.name);
        let (first, last) = case.want;
        assert!((ms(first)..=ms(last)).contains(&after), "{}: {after:?}", case.name);
    }
}
