//! What the members of a gang share: their checkpoint, their end and their failures.

use std::collections::{BTreeMap, BTreeSet};

use hickorylink_lib::{
    jobs::{
        call::{Action, Reply},
        controller::Event,
        lifecycle::JobPhase,
        model::{JobId, Run, Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
};
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::world::{FakeWorker, World, path, step, task};

/// A gang with checkpoints.
fn gang(count: u32) -> Step {
    let options = StepOptions { gang: true, checkpoints: true, ..StepOptions::default() };
    Step { options, ..step(count) }
}

/// What happens to the gang, each to the worker with this number.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// Its runs are broken, with this checkpoint.
    Broken(usize, &'static str),
    /// Its runs are stopped, with this checkpoint.
    Stopped(usize, &'static str),
    /// Its runs fail, with this checkpoint.
    Failed(usize, &'static str),
    /// It lists this checkpoint.
    Lists(usize, &'static str),
    /// It crashes and is back with the next heartbeat.
    Crashes(usize),
    /// Its last list of ends arrives once more.
    Repeats(usize),
    /// Another leader takes over.
    Failover,
}

/// A world with two workers that have room for two members each. One that has crashed is back under
/// the same name.
struct Gangs {
    world: World,
    workers: Vec<FakeWorker>,
    /// The checkpoints in the starts of each run, by the run.
    starts: BTreeMap<Run, Vec<String>>,
}

impl Gangs {
    /// A gang of `count` members that all run.
    fn start(count: u32) -> Self {
        let workers = (0..2).map(|at| FakeWorker {
            capacity: Resources { millicores: 2000, memory_mib: 4000, accelerators: 0 },
            ..FakeWorker::new(&format!("w{at}"))
        });
        let world = World::new();
        let mut gangs = Self { world, workers: workers.collect(), starts: BTreeMap::new() };
        gangs.exchange();
        gangs.world.submit(7, vec![gang(count)]);
        gangs.run_until(Run(1), count);
        gangs
    }

    fn heartbeat(&mut self, at: usize) {
        let Some(response) = self.world.heartbeat(&mut self.workers[at]) else { return };
        for start in response.starts {
            self.starts.entry(start.run).or_default().push(start.checkpoint.into());
        }
    }

    fn exchange(&mut self) {
        for at in 0..self.workers.len() {
            self.heartbeat(at);
        }
    }

    /// Exchanges heartbeats until all members of this run have started.
    fn run_until(&mut self, run: Run, count: u32) {
        let count = usize::try_from(count).expect("it fits");
        for _ in 0..200 {
            self.exchange();
            if self.starts.get(&run).is_some_and(|starts| starts.len() == count) {
                return;
            }
        }
        panic!("run {run} has not started: {:?}", self.starts);
    }

    fn apply(&mut self, happening: Happening) {
        match happening {
            Happening::Broken(at, checkpoint) => self.end(at, Ending::GangBroken, checkpoint),
            Happening::Stopped(at, checkpoint) => self.end(at, Ending::Stopped, checkpoint),
            Happening::Failed(at, checkpoint) => self.end(at, Ending::Failed, checkpoint),
            Happening::Lists(at, checkpoint) => {
                self.workers[at].checkpoint = checkpoint.to_owned();
                self.heartbeat(at);
            }
            Happening::Crashes(at) => {
                self.workers[at] = FakeWorker {
                    capacity: self.workers[at].capacity,
                    ..self.workers[at].restarted()
                };
                self.heartbeat(at);
            }
            Happening::Repeats(at) => {
                let ended = self.workers[at].ended.clone();
                self.heartbeat(at);
                self.workers[at].ended = ended;
                self.heartbeat(at);
            }
            Happening::Failover => self.world.restart(),
        }
    }

    fn end(&mut self, at: usize, ending: Ending, checkpoint: &str) {
        self.workers[at].checkpoint = checkpoint.to_owned();
        self.workers[at].end_all(ending);
        self.heartbeat(at);
        self.workers[at].checkpoint.clear();
    }
}

/// Guards against members that are started with different checkpoints: they don't make a gang, end one
/// after the other as incomplete, and start with the same checkpoints again.
#[test]
fn the_members_of_a_gang_continue_from_the_same_checkpoint() {
    use Happening::{Broken, Crashes, Failed, Failover, Lists, Repeats, Stopped};
    struct Case {
        name: &'static str,
        happenings: &'static [Happening],
        want: &'static str,
    }
    let cases = [
        Case { name: "a crash", happenings: &[Crashes(0), Broken(1, "w6")], want: "w6" },
        Case { name: "the ends first", happenings: &[Broken(1, "w6"), Crashes(0)], want: "w6" },
        Case {
            name: "the lost member has listed an older one",
            happenings: &[Lists(0, "w5"), Broken(1, "w6"), Crashes(0)],
            want: "w6",
        },
        Case {
            name: "the lost member has listed an older one, and is lost first",
            happenings: &[Lists(0, "w5"), Crashes(0), Broken(1, "w6")],
            want: "w6",
        },
        Case {
            name: "an end without a checkpoint",
            happenings: &[Lists(0, "w5"), Crashes(0), Broken(1, "")],
            want: "w5",
        },
        Case {
            name: "all members are lost",
            happenings: &[Lists(0, "w5"), Lists(1, "w6"), Crashes(0), Crashes(1)],
            want: "w5",
        },
        Case {
            name: "different ones in ends",
            happenings: &[Stopped(0, "w6"), Broken(1, "w7")],
            want: "w7",
        },
        Case { name: "a failure", happenings: &[Failed(0, "w6"), Broken(1, "")], want: "w6" },
        Case {
            name: "an end that arrives twice",
            happenings: &[Broken(0, "w6"), Broken(1, "w7"), Repeats(0)],
            want: "w7",
        },
        Case {
            name: "a change of leader between two ends",
            happenings: &[Broken(0, "w6"), Failover, Broken(1, "")],
            want: "w6",
        },
        Case { name: "no checkpoint", happenings: &[Crashes(0), Broken(1, "")], want: "" },
    ];
    for case in cases {
        let mut gangs = Gangs::start(4);
        for happening in case.happenings {
            gangs.apply(*happening);
        }
        gangs.run_until(Run(2), 4);
        assert_eq!(gangs.starts[&Run(2)], [case.want; 4], "{}", case.name);
    }
}

/// Guards against a member that is started although another one of its run has ended: it waits for that
/// one in vain.
#[test]
fn no_member_starts_after_another_one_of_its_run_has_ended() {
    struct Case {
        name: &'static str,
        ending: Ending,
    }
    let cases = [
        Case { name: "failed", ending: Ending::Failed },
        Case { name: "stopped", ending: Ending::Stopped },
        Case { name: "refused", ending: Ending::Refused },
        Case { name: "incomplete", ending: Ending::GangIncomplete },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
        world.submit(7, vec![gang(6)]);
        // The start of the members on the second worker is lost with its response.
        while first.running.is_empty() {
            world.heartbeat(&mut first);
        }
        first.checkpoint = "w1".to_owned();
        first.end_all(case.ending);
        world.heartbeat(&mut first);
        for _ in 0..20 {
            world.heartbeat(&mut second);
            let started = second.started.iter().filter(|(_, run)| *run == Run(1));
            assert_eq!(started.count(), 0, "{}", case.name);
            world.heartbeat(&mut first);
        }
        assert!(second.started.iter().any(|(_, run)| *run == Run(2)), "{}", case.name);
    }
}

/// Guards against a gang that fails without end, a member at a time, as failures were counted for each
/// member.
#[test]
fn a_gang_fails_after_the_maximum_of_failed_runs() {
    struct Case {
        name: &'static str,
        /// The workers whose members fail, for each run. The other members are broken.
        failing: &'static [&'static [usize]],
        want: JobPhase,
    }
    let cases = [
        Case {
            name: "the same members",
            failing: &[&[0], &[0], &[0], &[0]],
            want: JobPhase::Failed,
        },
        Case { name: "other members", failing: &[&[0], &[1], &[0], &[1]], want: JobPhase::Failed },
        Case { name: "three times", failing: &[&[0], &[1], &[0]], want: JobPhase::Active },
        Case { name: "all at once", failing: &[&[0, 1], &[0, 1]], want: JobPhase::Active },
        Case { name: "not at all", failing: &[&[], &[], &[], &[], &[]], want: JobPhase::Active },
    ];
    for case in cases {
        let mut gangs = Gangs::start(4);
        for (run, failing) in (1..).zip(case.failing) {
            gangs.run_until(Run(run), 4);
            for at in 0..gangs.workers.len() {
                let ending =
                    if failing.contains(&at) { Ending::Failed } else { Ending::GangBroken };
                gangs.end(at, ending, "");
            }
        }
        assert_eq!(gangs.world.phase(7), case.want, "{}", case.name);
    }
}

/// Guards against any order of ends, crashes, lost responses and changes of the leader in which two
/// members of one run are started with different checkpoints.
#[test]
fn members_of_a_run_share_their_checkpoint_in_random_orders() {
    fn property(seed: Vec<(u8, u8)>) -> TestResult {
        let mut gangs = Gangs::start(4);
        for (what, at) in seed {
            let at = usize::from(at) % gangs.workers.len();
            let checkpoint = ["", "w1", "w2", "w3"][usize::from(what >> 4) % 4];
            match what % 8 {
                0 => gangs.apply(Happening::Crashes(at)),
                1 => gangs.apply(Happening::Broken(at, checkpoint)),
                2 => gangs.apply(Happening::Stopped(at, checkpoint)),
                3 => gangs.apply(Happening::Lists(at, checkpoint)),
                4 if what > 200 => gangs.apply(Happening::Failover),
                5 => gangs.apply(Happening::Repeats(at)),
                6 => {
                    // A heartbeat whose response is lost.
                    let report = Box::new(gangs.workers[at].report());
                    let ticket = gangs.world.send(|ticket| Event::Heartbeat { ticket, report });
                    if let Some(response) = gangs.world.response(ticket) {
                        for start in response.starts {
                            let sent = gangs.starts.entry(start.run).or_default();
                            sent.push(start.checkpoint.into());
                        }
                    }
                }
                _ => gangs.exchange(),
            }
        }
        let different =
            gangs.starts.values().find(|starts| starts.iter().collect::<BTreeSet<_>>().len() > 1);
        TestResult::from_bool(different.is_none())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 34))
        .tests(60)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}

/// The state of gangs outlives a job only as long as the job.
#[test]
fn a_finished_gang_leaves_nothing_behind() {
    struct Case {
        name: &'static str,
        finish: fn(&mut Gangs),
    }
    let done = |gangs: &mut Gangs| {
        for at in 0..2 {
            gangs.end(at, Ending::Done, "w9");
        }
    };
    let cancel = |gangs: &mut Gangs| {
        let reply = gangs.world.call(&path(7), Action::Cancel);
        assert_eq!(reply, Reply::Cancelled);
    };
    let cases = [Case { name: "done", finish: done }, Case { name: "cancelled", finish: cancel }];
    for case in cases {
        let mut gangs = Gangs::start(4);
        gangs.apply(Happening::Crashes(0));
        gangs.apply(Happening::Broken(1, "w6"));
        gangs.run_until(Run(2), 4);
        let key = task(JobId(7), 0, 0).step_key();
        assert_eq!(
            gangs.world.controller.committed().gangs.checkpoint(&key),
            "w6",
            "{}",
            case.name
        );
        (case.finish)(&mut gangs);
        assert!(gangs.world.controller.committed().gangs.is_empty(), "{}", case.name);
    }
}
