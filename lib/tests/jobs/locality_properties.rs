//! Properties of waits for better placements under random load, lost workers and changes of the leader.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    jobs::{
        controller::leader::Leader,
        lifecycle::TaskPhase,
        locality::Locality,
        model::{Step, StepKey, StepOptions},
        pool::Room,
        waiting::Demand,
    },
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::{
    locality_model::{Model, TICK, near, on_rack},
    world::World,
};

const MAX_WAIT: Duration = Duration::from_secs(2);

/// How long room may stay empty that a task could use: the interval between two attempts to place all tasks
/// on any worker (300 ms), with the interval between two checks (100 ms) and the steps of the clock.
const MAX_IDLE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
enum Happening {
    /// A job of this many tasks with data on a rack, the estimate and the work of a task in milliseconds, and
    /// whether it is a rack-sensitive gang.
    Submit { count: u32, rack: u8, estimate: u64, work: u64, gang: bool },
    /// Time passes, in milliseconds.
    Run(u64),
    /// A worker stops without a word.
    Kill(usize),
    /// Another leader takes over.
    ChangeLeader,
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut pick = |below: u64| u64::arbitrary(g) % below;
        match pick(40) {
            0 => Self::ChangeLeader,
            1 => Self::Kill(usize::try_from(pick(6)).expect("it is small")),
            2..=15 => Self::Run(20 + pick(400)),
            _ => {
                let work = 100 + pick(1500);
                // Estimates are off by up to 0.9, and half of the data is on one rack.
                Self::Submit {
                    count: 1 + u32::try_from(pick(5)).expect("it is small"),
                    rack: if pick(2) == 0 {
                        0
                    } else {
                        u8::try_from(pick(3)).expect("it is small")
                    },
                    estimate: work * (1 + pick(19)) / 10,
                    work,
                    gang: pick(6) == 0,
                }
            }
        }
    }
}

/// What was seen of a step that waits.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// The end of its wait when it was first seen.
    until: Option<Time>,
    /// Since when it could use empty room.
    idle: Option<Time>,
}

/// Watches the waiting steps.
#[derive(Debug, Default)]
struct Watch {
    steps: BTreeMap<StepKey, Seen>,
    waits: usize,
}

impl Watch {
    /// Checks the waiting steps; the error is the first that breaks a rule.
    fn check(&mut self, leader: &Leader, now: Time) -> Result<(), String> {
        let waiting = waiting_steps(leader);
        self.steps.retain(|key, _| waiting.contains_key(key));
        for (key, step) in waiting {
            let seen = self.steps.entry(key).or_insert(Seen { until: None, idle: None });
            let until = leader.near_wait_end(&key);
            if let Some(until) = until {
                if until + TICK < now {
                    return Err(format!("{key} waits past {until:?} at {now:?}"));
                }
                if until > now + MAX_WAIT {
                    return Err(format!("{key} may wait until {until:?} from {now:?}"));
                }
                if seen.until.is_some_and(|first| until > first) {
                    return Err(format!("the end of {key}'s wait has moved from {:?}", seen.until));
                }
                self.waits += usize::from(seen.until.is_none());
                seen.until = seen.until.or(Some(until));
            }
            let could_run = until.is_none() && !step.options.gang && has_room(leader, &step, now);
            seen.idle = if could_run { seen.idle.or(Some(now)) } else { None };
            if seen.idle.is_some_and(|since| now.since(since) > MAX_IDLE) {
                return Err(format!("{key} could use empty room since {:?}", seen.idle));
            }
        }
        Ok(())
    }
}

/// The steps with tasks that wait.
fn waiting_steps(leader: &Leader) -> BTreeMap<StepKey, Step> {
    let open = leader.state.jobs.iter().filter(|(_, job)| job.phase.is_open());
    let keys = open.flat_map(|(id, _)| leader.state.ready_steps(*id, 0));
    let waiting = keys.filter(|key| {
        leader.state.progress(key).is_none_or(|progress| {
            progress.tasks.iter().any(|task| task.phase == TaskPhase::Waiting)
        })
    });
    waiting.filter_map(|key| Some((key, leader.state.step(&key)?.clone()))).collect()
}

/// Whether a worker can start a task of the step at once.
fn has_room(leader: &Leader, step: &Step, now: Time) -> bool {
    leader.fleet.workers.values().any(|worker| {
        worker.held.is_some()
            && worker.is_usable(now)
            && Room::left(worker).fits(&Demand::new(step))
    })
}

/// Plays the happenings; returns the number of waits.
fn play(happenings: Vec<Happening>) -> Result<usize, String> {
    let locality = Locality { remote_factor: 3.0, max_wait: MAX_WAIT };
    let workers = (0..6).map(|at| on_rack(&format!("w{at}"), &format!("r{}", at / 2), 4));
    let mut model = Model::new(World::with_locality(locality), 3.0, workers.collect());
    let (mut watch, mut id, mut killed) = (Watch::default(), 0, 0);
    for happening in happenings {
        let span = match happening {
            Happening::Submit { count, rack, estimate, work, gang } => {
                id += 1;
                let options = StepOptions { gang, rack_sensitive: gang, ..StepOptions::default() };
                let step = near(count, &format!("r{rack}"), estimate);
                model.submit(id, Step { options, ..step }, work);
                TICK
            }
            Happening::Run(millis) => Duration::from_millis(millis),
            // Half of the workers stay.
            Happening::Kill(at) => {
                killed += usize::from(!model.workers[at].dead && killed < 3);
                model.workers[at].dead |= killed < 3;
                TICK
            }
            Happening::ChangeLeader => {
                model.change_leader();
                TICK
            }
        };
        let begun = model.world.now;
        while model.world.now.since(begun) < span {
            model.tick();
            let leader = model.world.controller.leader().ok_or("nobody leads")?;
            watch.check(leader, model.world.now)?;
        }
    }
    for _ in 0..3000 {
        model.tick();
        let leader = model.world.controller.leader().ok_or("nobody leads")?;
        watch.check(leader, model.world.now)?;
        if waiting_steps(leader).is_empty() {
            return Ok(watch.waits);
        }
    }
    Err("tasks still wait after a minute".to_owned())
}

/// Guards against tasks that wait past their bound, bounds that move, and room that stays empty for a wait
/// while another task could use it.
#[test]
fn waits_are_bounded_and_keep_no_room_empty() {
    fn holds(happenings: Vec<Happening>) -> Result<bool, String> {
        play(happenings).map(|_| true)
    }
    let mut check = QuickCheck::new().rng(Gen::new(150)).tests(40);
    check.quickcheck(holds as fn(Vec<Happening>) -> Result<bool, String>);
}

/// Guards against properties that hold because nothing waits.
#[test]
fn the_random_load_has_waits() {
    let mut source = Gen::from_size_and_seed(150, 7);
    let waits: usize = (0..10)
        .map(|_| {
            let happenings = (0..150).map(|_| Happening::arbitrary(&mut source));
            play(happenings.collect()).expect("the rules hold")
        })
        .sum();
    assert!(waits >= 50, "{waits}");
}
