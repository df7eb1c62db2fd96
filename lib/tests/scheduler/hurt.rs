//! Batch work that hurts a service beside it: slowed, and moved within the budgets.

use std::time::Duration;

use hickorylink_lib::{
    policy::Objective,
    resources::Resources,
    scheduler::port::Effect,
    worker::{AttemptState, Sample, WorkerCommand},
};

use crate::desk::{BIG, Desk, announcement, attempt, burst, plan, policy, report, room, task};

/// What the service's latency would be without neighbours, in milliseconds; 20 is good.
const ALONE: f64 = 13.6;

/// A service's replica on "w1", and what is done for it.
struct Beside {
    desk: Desk,
    batch: bool,
    permille: u32,
    /// Throttles that were sent.
    sent: Vec<u32>,
    stopped: bool,
}

impl Beside {
    fn new(task_evictions: u32) -> Self {
        let mut terms = plan(burst(room(1_000, 1_000)));
        terms.objective = Objective::Latency;
        terms.task_evictions = task_evictions;
        let mut desk = Desk::idle();
        desk.policy(&policy(&[("ann", terms)]));
        desk.hold(Some(1));
        desk.announce(announcement("w1", BIG)).expect("a lease");
        let mut replica = task(1, "ann", room(4, 4));
        replica.spec.service = Some("folddesk".into());
        desk.open(replica);
        assert_eq!(desk.starts().len(), 1);
        Self { desk, batch: false, permille: 1_000, sent: Vec::new(), stopped: false }
    }

    fn start_batch(&mut self, idempotent: bool) {
        let mut noisy = task(2, "ann", room(4, 4));
        noisy.spec.idempotent = idempotent;
        self.desk.open(noisy);
        assert_eq!(self.desk.starts(), [(attempt(2, 1), "w1".into())]);
        self.batch = true;
        self.desk.announce(announcement("w2", BIG)).expect("a lease");
    }

    /// Lets a second pass, after which "w1" announces itself with a sample of the replica.
    fn second(&mut self) {
        self.desk.pass(Duration::from_secs(1));
        let harm = if self.batch { 1.5 * f64::from(self.permille) / 1_000.0 } else { 0.0 };
        let latency = Duration::from_secs_f64(ALONE / 1_000.0 * f64::exp(harm));
        let sample = |id, latency, used| Sample {
            attempt: attempt(id, 1),
            age: Duration::ZERO,
            used,
            latency,
            beside: Vec::new(),
        };
        let mut said = announcement("w1", BIG);
        said.tasks = vec![report(attempt(1, 1), AttemptState::Running)];
        let mut replica = sample(1, Some(latency), room(2, 2));
        if self.batch {
            said.tasks.push(report(attempt(2, 1), AttemptState::Running));
            replica.beside.push(attempt(2, 1));
            let millicores = 4 * u64::from(self.permille);
            said.samples.push(sample(2, None, Resources { millicores, ..room(0, 2) }));
        }
        said.samples.push(replica);
        self.desk.announce(said).expect("a lease");
        self.desk.announce(announcement("w2", BIG)).expect("a lease");
        for (_, command) in self.desk.commands() {
            match command {
                WorkerCommand::Throttle { attempt: who, permille } if who == attempt(2, 1) => {
                    self.permille = permille;
                    self.sent.push(permille);
                }
                WorkerCommand::Stop { attempt: who, .. } => self.stopped |= who == attempt(2, 1),
                WorkerCommand::Throttle { .. }
                | WorkerCommand::Start(_)
                | WorkerCommand::Checkpoint { .. } => {}
            }
        }
    }
}

#[test]
fn work_that_hurts_a_service_is_slowed_and_moved() {
    struct Case {
        name: &'static str,
        evictions: u32,
        idempotent: bool,
        moved: bool,
    }
    let cases = [
        Case { name: "within the budget", evictions: 3, idempotent: true, moved: true },
        Case { name: "no eviction left", evictions: 0, idempotent: true, moved: false },
        Case { name: "it may not run twice", evictions: 3, idempotent: false, moved: false },
    ];
    for case in cases {
        let mut beside = Beside::new(case.evictions);
        for _ in 0..40 {
            beside.second();
        }
        beside.start_batch(case.idempotent);
        for _ in 0..120 {
            beside.second();
            if beside.stopped {
                break;
            }
        }
        assert!(beside.sent[0] < 1_000, "{}: slowed first", case.name);
        let again = beside.sent.iter().skip(1).take_while(|speed| **speed == beside.sent[0]);
        assert!(again.count() >= 1, "{}: sent again, in case it is lost", case.name);
        assert_eq!(beside.stopped, case.moved, "{}", case.name);
        if case.moved {
            let mut said = announcement("w1", BIG);
            said.tasks = vec![
                report(attempt(1, 1), AttemptState::Running),
                report(attempt(2, 1), AttemptState::Stopped { checkpoint: None }),
            ];
            beside.desk.rest();
            beside.desk.announce(said).expect("a lease");
            let yielded = beside
                .desk
                .rest()
                .into_iter()
                .find(|effect| matches!(effect, Effect::RecordYield { .. }));
            let cause = format!("{yielded:?}");
            assert!(cause.contains("Evicted(Interference)"), "{}: {cause}", case.name);
        }
    }
}
