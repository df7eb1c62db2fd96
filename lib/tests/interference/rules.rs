//! Decisions of the interference policy, case by case.

use std::time::Duration;

use hickorylink_lib::{
    interference::port::{Action, Counters},
    policy::Objective::{self, Latency, Throughput},
};

use crate::simulation::{OBJECTIVE_S, Simulation, attempt, batch, sample, service, worker};

const SEED: u64 = 11;

#[test]
fn a_sample_is_attributed_to_the_tasks_that_ran_when_it_was_taken() {
    struct Case {
        name: &'static str,
        /// The time since the noisy task was replaced by the quiet one, in seconds.
        swapped: u64,
        /// The age of the samples, in seconds.
        age: u64,
        noisy: bool,
        quiet: bool,
    }
    let cases = [
        Case { name: "taken before the swap", swapped: 10, age: 20, noisy: true, quiet: false },
        Case { name: "taken after the swap", swapped: 30, age: 5, noisy: false, quiet: true },
    ];
    for case in cases {
        let mut sim = Simulation::new(SEED, &[]);
        sim.place(1, service(1, Latency));
        sim.run(20);
        sim.place(1, batch(2, "noisy", 3, Latency));
        sim.run(60);
        sim.end(2);
        sim.place(1, batch(3, "quiet", 3, Latency));
        sim.now = sim.now + Duration::from_secs(case.swapped);
        let beside: &[u64] = if case.noisy { &[2] } else { &[3] };
        let before = (harm(&sim, "noisy"), harm(&sim, "quiet"));
        for number in 0..40 {
            let age = Duration::from_secs(case.age) + Duration::from_millis(100 * number);
            let latency = 0.03 + 0.000_1 * number as f64;
            sim.policy.sampled(sim.now, &worker(1), &sample(1, age, latency, beside));
        }
        sim.tick();
        let after = (harm(&sim, "noisy"), harm(&sim, "quiet"));
        assert_eq!(after.0 > before.0, case.noisy, "{}: noisy {before:?} {after:?}", case.name);
        assert_eq!(after.1 > before.1, case.quiet, "{}: quiet {before:?} {after:?}", case.name);
    }
}

fn harm(sim: &Simulation, kind: &str) -> f64 {
    sim.policy.harm(sim.now, &"folddesk".into(), &"dermaga".into(), &kind.into()).mean
}

#[test]
fn samples_that_cannot_be_attributed_are_dropped_and_counted() {
    struct Case {
        name: &'static str,
        /// The samples: the replica's task, the age in milliseconds and the tasks beside it.
        samples: &'static [(u64, u64, &'static [u64])],
        want: Counters,
    }
    let none = Counters::default();
    let cases = [
        Case {
            name: "one sample",
            samples: &[(1, 500, &[2])],
            want: Counters { counted: 1, ..none },
        },
        Case {
            name: "an unknown replica",
            samples: &[(9, 500, &[2])],
            want: Counters { unknown: 1, ..none },
        },
        Case {
            name: "a batch task with a latency",
            samples: &[(2, 500, &[1])],
            want: Counters { unknown: 1, ..none },
        },
        Case {
            name: "an unknown neighbour",
            samples: &[(1, 500, &[2, 7])],
            want: Counters { unknown: 1, ..none },
        },
        Case {
            name: "a neighbour that left long before",
            samples: &[(1, 500, &[3])],
            want: Counters { unknown: 1, ..none },
        },
        Case {
            name: "a neighbour that left later",
            samples: &[(1, 10_500, &[3])],
            want: Counters { counted: 1, ..none },
        },
        Case { name: "too old", samples: &[(1, 61_000, &[2])], want: Counters { old: 1, ..none } },
        Case {
            name: "delivered twice",
            samples: &[(1, 500, &[2]), (1, 500, &[2])],
            want: Counters { counted: 1, duplicate: 1, ..none },
        },
        Case {
            name: "delivered again later with a higher age",
            samples: &[(1, 500, &[2]), (1, 800, &[2])],
            want: Counters { counted: 1, duplicate: 1, ..none },
        },
        Case {
            name: "two equal samples taken at different times",
            samples: &[(1, 500, &[2]), (1, 1_500, &[2])],
            want: Counters { counted: 2, ..none },
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(SEED, &[]);
        sim.policy.placed(sim.now, &worker(1), &service(1, Latency));
        sim.policy.placed(sim.now, &worker(1), &batch(2, "quiet", 3, Latency));
        sim.policy.placed(sim.now, &worker(1), &batch(3, "quiet", 3, Latency));
        sim.now = sim.now + Duration::from_secs(91);
        sim.policy.left(sim.now, &worker(1), attempt(3));
        sim.now = sim.now + Duration::from_secs(9);
        for (task, millis, beside) in case.samples {
            let sample = sample(*task, Duration::from_millis(*millis), 0.01, beside);
            sim.policy.sampled(sim.now, &worker(1), &sample);
        }
        sim.policy.decide(sim.now, &mut Vec::new());
        assert_eq!(*sim.policy.counters(), case.want, "{}", case.name);
    }
}

#[test]
fn actions_follow_the_objective_and_the_evictions_left() {
    struct Case {
        name: &'static str,
        service: Objective,
        batch: Objective,
        /// The latency without neighbours as a fraction of the latency objective.
        alone: f64,
        /// The harm of the noisy kind.
        harm: f64,
        evictions: u32,
        throttled: bool,
        moved: bool,
    }
    let base = Case {
        name: "a degraded service",
        service: Latency,
        batch: Latency,
        alone: 0.4,
        harm: 1.5,
        evictions: 3,
        throttled: true,
        moved: false,
    };
    let cases = [
        Case { name: "no harm", harm: 0.0, throttled: false, ..base },
        Case { name: "harm that leaves slack", harm: 0.3, throttled: false, ..base },
        Case { name: "a latency plan acts above its objective", harm: 1.2, ..base },
        Case {
            name: "a throughput plan tolerates it",
            service: Throughput,
            harm: 1.2,
            throttled: false,
            ..base
        },
        Case {
            name: "a throughput plan acts far above its objective",
            service: Throughput,
            harm: 1.7,
            ..base
        },
        Case { name: "moved if the floor doesn't help", alone: 0.68, moved: true, ..base },
        Case {
            name: "moved if the floor doesn't help a throughput plan's service",
            service: Throughput,
            batch: Throughput,
            alone: 0.95,
            moved: true,
            ..base
        },
        Case { name: "not moved without an eviction left", alone: 0.68, evictions: 0, ..base },
        base,
    ];
    for case in cases {
        let mut sim = Simulation::new(SEED, &[("noisy", case.harm)]);
        sim.alone = case.alone * OBJECTIVE_S;
        sim.place(1, service(1, case.service));
        sim.run(30);
        // The effects of tasks that are placed together can't be distinguished.
        sim.place(1, batch(3, "quiet", 3, case.batch));
        sim.run(30);
        sim.place(1, batch(2, "noisy", case.evictions, case.batch));
        sim.run(120);
        let throttled = sim.actions.iter().any(|(_, action)| concerns(action, 2));
        let quiet_untouched = !sim.actions.iter().any(|(_, action)| concerns(action, 3));
        let moved = sim.moved() == [2];
        let got = (throttled, moved, quiet_untouched);
        assert_eq!(got, (case.throttled, case.moved, true), "{}: {:?}", case.name, sim.actions);
    }
}

fn concerns(action: &Action, task: u64) -> bool {
    match action {
        Action::Throttle { worker: _, attempt: who, permille: _ }
        | Action::Move { worker: _, attempt: who } => *who == attempt(task),
    }
}

#[test]
fn a_task_is_moved_only_if_it_harms_less_elsewhere() {
    struct Case {
        name: &'static str,
        /// Whether the other worker runs a replica of the degraded service.
        same: bool,
        moved: &'static [u64],
    }
    let cases = [
        Case { name: "same harm on the other worker", same: true, moved: &[] },
        Case { name: "no harm on the other worker", same: false, moved: &[2] },
    ];
    for case in cases {
        let mut sim = Simulation::new(SEED, &[("noisy", 1.5)]);
        sim.alone = 0.68 * OBJECTIVE_S;
        sim.place(1, service(1, Latency));
        match case.same {
            true => sim.place(2, service(4, Latency)),
            false => sim.place(2, batch(4, "quiet", 3, Latency)),
        }
        sim.run(30);
        sim.place(1, batch(2, "noisy", 3, Latency));
        sim.run(120);
        assert_eq!(sim.moved(), case.moved, "{}", case.name);
    }
}

#[test]
fn a_throttle_is_a_fraction_of_the_unthrottled_usage() {
    struct Case {
        name: &'static str,
        /// The task's CPU usage in thousandths of a core; `None` if there are no samples.
        used: Option<u64>,
        /// The first throttle, to 750 thousandths of the usage, of a task with a reservation of 2,000
        /// thousandths of a core.
        want: u32,
    }
    let cases = [
        Case { name: "unknown usage: fraction of the reservation", used: None, want: 750 },
        Case { name: "full reservation used", used: Some(2_000), want: 750 },
        Case { name: "half of the reservation used", used: Some(1_000), want: 375 },
        Case { name: "more than the reservation used", used: Some(4_000), want: 999 },
    ];
    for case in cases {
        let mut sim = Simulation::new(SEED, &[("noisy", 1.5)]);
        sim.place(1, service(1, Latency));
        sim.run(30);
        sim.place(1, batch(2, "noisy", 3, Latency));
        let throttle = (0..60).find_map(|_| {
            if let Some(millicores) = case.used {
                let mut used = sample(2, Duration::ZERO, 0.0, &[]);
                used.used.millicores = millicores;
                sim.policy.sampled(sim.now, &worker(1), &used);
            }
            sim.tick();
            sim.permille(2).filter(|permille| *permille < 1_000)
        });
        assert_eq!(throttle, Some(case.want), "{}", case.name);
    }
}

#[test]
fn no_task_is_blamed_without_recent_samples() {
    struct Case {
        name: &'static str,
        no_samples: bool,
        blamed: bool,
        lifted: bool,
    }
    let cases = [
        Case { name: "samples continue", no_samples: false, blamed: true, lifted: false },
        Case { name: "no sample for 40 s", no_samples: true, blamed: false, lifted: true },
    ];
    for case in cases {
        let mut sim = Simulation::new(SEED, &[("noisy", 1.5)]);
        sim.place(1, service(1, Latency));
        sim.run(30);
        sim.place(1, batch(2, "noisy", 0, Latency));
        sim.run(60);
        sim.no_samples = case.no_samples;
        sim.run(40);
        let lifted = sim.permille(2) == Some(1_000);
        assert_eq!(lifted, case.lifted, "{}: {:?}", case.name, sim.actions);
        sim.place(1, batch(3, "noisy", 0, Latency));
        sim.run(20);
        let blamed = sim.actions.iter().any(|(_, action)| concerns(action, 3));
        assert_eq!(blamed, case.blamed, "{}: {:?}", case.name, sim.actions);
    }
}

#[test]
fn throughput_plans_are_throttled_longer_before_a_move() {
    let moved_after = |objective| {
        let mut sim = Simulation::new(SEED, &[("noisy", 1.5)]);
        sim.alone = 0.68 * OBJECTIVE_S;
        sim.place(1, service(1, Latency));
        sim.run(30);
        sim.place(1, batch(2, "noisy", 3, objective));
        let placed = sim.now;
        sim.run(120);
        let moved = sim.actions.iter().find(|(_, action)| matches!(action, Action::Move { .. }));
        moved.map(|(at, _)| at.since(placed).as_secs()).expect("it is moved")
    };
    let (latency, throughput) = (moved_after(Latency), moved_after(Throughput));
    assert!(latency + 20 <= throughput, "{latency} s, {throughput} s");
}

#[test]
fn penalties_reflect_earlier_harm() {
    struct Case {
        name: &'static str,
        kind: &'static str,
        on: u64,
        min: f64,
        max: f64,
    }
    let cases = [
        Case { name: "the noisy kind", kind: "noisy", on: 2, min: 0.3, max: 10.0 },
        Case { name: "the quiet kind", kind: "quiet", on: 2, min: 0.0, max: 0.1 },
        Case { name: "an unknown kind", kind: "new", on: 2, min: 0.0, max: 0.0 },
        Case { name: "a worker without services", kind: "noisy", on: 3, min: 0.0, max: 0.0 },
        Case { name: "an unknown worker", kind: "noisy", on: 9, min: 0.0, max: 0.0 },
    ];
    let mut sim = Simulation::new(SEED, &[("noisy", 1.0)]);
    sim.place(1, service(1, Latency));
    sim.place(2, service(2, Latency));
    sim.place(3, batch(3, "quiet", 3, Latency));
    sim.run(30);
    sim.place(1, batch(4, "noisy", 0, Latency));
    sim.run(60);
    sim.place(1, batch(5, "quiet", 0, Latency));
    sim.run(60);
    for case in cases {
        let neighbour = batch(99, case.kind, 3, Latency);
        let penalty = sim.policy.penalty(sim.now, &worker(case.on), &neighbour);
        let range = case.min..=case.max;
        assert!(range.contains(&penalty), "{}: {penalty}", case.name);
    }
    let beside_noisy = sim.policy.penalty(sim.now, &worker(1), &service(98, Latency));
    let alone = sim.policy.penalty(sim.now, &worker(2), &service(98, Latency));
    assert!(beside_noisy > alone, "a replica avoids the noisy task: {beside_noisy}, {alone}");
}

#[test]
fn decisions_keep_to_the_control_interval() {
    let mut sim = Simulation::new(SEED, &[]);
    assert_eq!(sim.policy.next_deadline(), None);
    sim.place(1, service(1, Latency));
    let due = sim.policy.next_deadline().expect("a decision is due");
    assert_eq!(due.since(sim.now), Duration::from_secs(1));
    sim.policy.sampled(sim.now, &worker(1), &sample(1, Duration::ZERO, 0.01, &[]));
    sim.policy.decide(sim.now + Duration::from_millis(999), &mut Vec::new());
    assert_eq!(sim.policy.counters().counted, 0, "not before the interval is over");
    sim.policy.decide(due, &mut Vec::new());
    assert_eq!(sim.policy.counters().counted, 1);
}

#[test]
fn all_state_is_dropped_after_all_placements_end() {
    let mut sim = Simulation::new(SEED, &[]);
    sim.place(1, service(1, Latency));
    sim.place(1, batch(2, "noisy", 3, Latency));
    sim.run(5);
    sim.end(1);
    sim.end(2);
    sim.run(62);
    let footprint = sim.policy.footprint();
    assert_eq!((footprint.workers, footprint.placements), (0, 0));
    assert_eq!(sim.policy.next_deadline(), None);
}
