//! The work of a leader's turns beside the largest jobs that callers may submit.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        call::OperatorRequest, controller::Answer, lifecycle::JobPhase, model::Step,
        record::Ending, turn_work::TurnWork,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, World, job_config, step};

/// The most items that a turn may look at. At 1 µs for each, which is far more than any takes, a turn stays
/// below a tenth of the time after which followers elect another leader.
const MAX_WORK: usize = 80_000;

/// The steps of a submission of the largest body.
const MOST_STEPS: usize = 6500;

/// A step that fits no worker.
fn hopeless() -> Step {
    let needs = Resources { millicores: 90_000, memory_mib: 1, accelerators: 0 };
    Step { needs, estimate: 9, ..step(1) }
}

fn small(count: u32) -> Step {
    let needs = Resources { millicores: 1, memory_mib: 1, accelerators: 0 };
    Step { needs, ..step(count) }
}

fn chain(length: usize) -> Vec<Step> {
    let steps = 0..u16::try_from(length).expect("a legal number of steps");
    steps.map(|at| Step { after: at.checked_sub(1).into_iter().collect(), ..small(1) }).collect()
}

/// Steps that depend on the 60 steps before them.
fn mesh(length: u16) -> Vec<Step> {
    let steps = 0..length;
    steps.map(|at| Step { after: (at.saturating_sub(60)..at).collect(), ..small(1) }).collect()
}

/// Lists the most work of one turn over several of them.
struct Meter {
    world: World,
    most: TurnWork,
}

impl Meter {
    fn measure(&mut self) {
        let work = self
            .world
            .controller
            .leader()
            .map_or_else(TurnWork::default, |leader| *leader.last_work());
        if work.total() > self.most.total() {
            self.most = work;
        }
    }

    fn submit(&mut self, id: u64, steps: Vec<Step>) {
        self.world.submit(id, steps);
        self.measure();
    }

    /// Lets time pass in turns of 20 ms.
    fn advance(&mut self, turns: u32) {
        for _ in 0..turns {
            self.world.advance(Duration::from_millis(20));
            self.measure();
        }
    }

    /// Lets each worker finish what it runs and send a heartbeat, several times.
    fn work(&mut self, workers: &mut [FakeWorker], rounds: u32) {
        for _ in 0..rounds {
            for worker in workers.iter_mut() {
                worker.end_all(Ending::Done);
                self.world.heartbeat(worker);
                self.measure();
            }
        }
    }
}

/// Guards against leaders that compute past their lease beside a few submissions of thousands of steps.
#[test]
fn the_work_of_a_turn_is_bounded() {
    struct Case {
        name: &'static str,
        jobs: u64,
        steps: fn() -> Vec<Step>,
    }
    let cases = [
        Case { name: "hopeless steps", jobs: 8, steps: || vec![hopeless(); MOST_STEPS] },
        Case { name: "steps that fit", jobs: 8, steps: || vec![small(1); MOST_STEPS] },
        Case { name: "long chains", jobs: 8, steps: || chain(MOST_STEPS) },
        Case { name: "many dependencies", jobs: 8, steps: || mesh(700) },
        Case { name: "many small jobs", jobs: 1500, steps: || vec![hopeless(); 20] },
        Case { name: "many tasks", jobs: 3, steps: || vec![small(60_000)] },
    ];
    for case in cases {
        let mut meter = Meter { world: World::new(), most: TurnWork::default() };
        let mut workers: Vec<_> = (0..4).map(|at| FakeWorker::new(&format!("w{at}"))).collect();
        meter.work(&mut workers, 2);
        for id in 0..case.jobs {
            meter.submit(0x900 + id, (case.steps)());
        }
        meter.advance(20);
        meter.work(&mut workers, 4);
        let request = OperatorRequest::Configure(Box::new(job_config(2)));
        let ticket = meter.world.operator_request(request);
        assert!(matches!(meter.world.answers[&ticket], Answer::Operator(_)), "{}", case.name);
        meter.measure();
        meter.advance(20);
        meter.world.restart();
        meter.advance(20);
        meter.work(&mut workers, 2);
        let waiting = meter.world.controller.leader().map_or(0, |leader| leader.waiting_steps());
        let most = meter.most;
        assert!(most.total() <= MAX_WORK, "{}, {waiting} steps wait: {most:?}", case.name);
    }
}

/// Guards against usual jobs that don't run beside those of thousands of steps.
#[test]
fn usual_jobs_complete_beside_the_largest_ones() {
    struct Case {
        name: &'static str,
        steps: fn() -> Vec<Step>,
        restart: bool,
    }
    let cases = [
        Case { name: "hopeless", steps: || vec![hopeless(); MOST_STEPS], restart: false },
        Case { name: "hopeless, takeover", steps: || vec![hopeless(); MOST_STEPS], restart: true },
        Case { name: "chains", steps: || chain(MOST_STEPS), restart: false },
        Case { name: "chains, takeover", steps: || chain(MOST_STEPS), restart: true },
    ];
    for case in cases {
        let mut meter = Meter { world: World::new(), most: TurnWork::default() };
        let mut workers: Vec<_> = (0..4).map(|at| FakeWorker::new(&format!("w{at}"))).collect();
        for id in 0..8 {
            meter.submit(0x900 + id, (case.steps)());
        }
        if case.restart {
            meter.world.restart();
        }
        for id in 1..=10 {
            meter.submit(id, vec![step(2), Step { after: vec![0], ..step(2) }]);
        }
        let end = meter.world.now + Duration::from_secs(20);
        while meter.world.now < end
            && (1..=10).any(|id| meter.world.phase(id) != JobPhase::Completed)
        {
            meter.work(&mut workers, 1);
        }
        for id in 1..=10 {
            assert_eq!(meter.world.phase(id), JobPhase::Completed, "{}: job {id}", case.name);
        }
    }
}
