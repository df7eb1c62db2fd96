//! Batch work that degrades a service beside it is throttled, and evicted within the budgets.

use std::time::Duration;

use hickorylink_lib::{
    policy::Objective,
    resources::Resources,
    scheduler::port::Effect,
    worker::{AttemptState, Sample, WorkerCommand},
};

use crate::harness::{
    Harness, LARGE_WORKER, announcement_of, attempt, burst, plan, policy, report, resources, task,
};

/// The service's latency without neighbours, in milliseconds; the objective is 20 ms.
const ALONE_MS: f64 = 13.6;

/// A service's replica on "w1", and the commands sent for the batch task beside it.
struct Colocation {
    harness: Harness,
    /// Whether the batch task was started.
    batch: bool,
    /// The speed of the batch task, in thousandths.
    permille: u32,
    /// The speeds in the throttle commands that were sent, in thousandths.
    sent: Vec<u32>,
    stopped: bool,
}

impl Colocation {
    fn new(task_evictions: u32) -> Self {
        let mut terms = plan(burst(resources(1_000, 1_000)));
        terms.objective = Objective::Latency;
        terms.task_evictions = task_evictions;
        let mut harness = Harness::without_leadership();
        harness.policy(&policy(&[("ann", terms)]));
        harness.set_leadership(Some(1));
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        let mut replica = task(1, "ann", resources(4, 4));
        replica.spec.service = Some("folddesk".into());
        harness.open_task(replica);
        assert_eq!(harness.record_starts().len(), 1);
        Self { harness, batch: false, permille: 1_000, sent: Vec::new(), stopped: false }
    }

    fn start_batch(&mut self, idempotent: bool) {
        let mut batch = task(2, "ann", resources(4, 4));
        batch.spec.idempotent = idempotent;
        self.harness.open_task(batch);
        assert_eq!(self.harness.record_starts(), [(attempt(2, 1), "w1".into())]);
        self.batch = true;
        self.harness.announce(announcement_of("w2", LARGE_WORKER)).expect("a lease");
    }

    /// Advances the clock by a second, after which "w1" announces itself with a sample of the
    /// replica.
    fn step(&mut self) {
        self.harness.advance(Duration::from_secs(1));
        let harm = if self.batch { 1.5 * f64::from(self.permille) / 1_000.0 } else { 0.0 };
        let latency = Duration::from_secs_f64(ALONE_MS / 1_000.0 * f64::exp(harm));
        let sample = |id, latency, used| Sample {
            attempt: attempt(id, 1),
            age: Duration::ZERO,
            used,
            latency,
            beside: Vec::new(),
        };
        let mut announcement = announcement_of("w1", LARGE_WORKER);
        announcement.tasks = vec![report(attempt(1, 1), AttemptState::Running)];
        let mut replica = sample(1, Some(latency), resources(2, 2));
        if self.batch {
            announcement.tasks.push(report(attempt(2, 1), AttemptState::Running));
            replica.beside.push(attempt(2, 1));
            let millicores = 4 * u64::from(self.permille);
            announcement.samples.push(sample(2, None, Resources { millicores, ..resources(0, 2) }));
        }
        announcement.samples.push(replica);
        self.harness.announce(announcement).expect("a lease");
        self.harness.announce(announcement_of("w2", LARGE_WORKER)).expect("a lease");
        for (_, command) in self.harness.take_commands() {
            match command {
                WorkerCommand::Throttle { attempt: id, permille } if id == attempt(2, 1) => {
                    self.permille = permille;
                    self.sent.push(permille);
                }
                WorkerCommand::Stop { attempt: id, .. } => self.stopped |= id == attempt(2, 1),
                WorkerCommand::Throttle { .. }
                | WorkerCommand::Start(_)
                | WorkerCommand::Checkpoint { .. } => {}
            }
        }
    }
}

#[test]
fn work_that_degrades_a_service_is_throttled_and_evicted() {
    struct Case {
        name: &'static str,
        evictions: u32,
        idempotent: bool,
        evicted: bool,
    }
    let cases = [
        Case { name: "within the budget", evictions: 3, idempotent: true, evicted: true },
        Case { name: "no eviction left", evictions: 0, idempotent: true, evicted: false },
        Case { name: "not idempotent", evictions: 3, idempotent: false, evicted: false },
    ];
    for case in cases {
        let mut colocation = Colocation::new(case.evictions);
        for _ in 0..40 {
            colocation.step();
        }
        colocation.start_batch(case.idempotent);
        for _ in 0..120 {
            colocation.step();
            if colocation.stopped {
                break;
            }
        }
        assert!(colocation.sent[0] < 1_000, "{}: throttled first", case.name);
        let resent =
            colocation.sent.iter().skip(1).take_while(|speed| **speed == colocation.sent[0]);
        assert!(resent.count() >= 1, "{}: resent, in case it is lost", case.name);
        assert_eq!(colocation.stopped, case.evicted, "{}", case.name);
        if case.evicted {
            let mut announcement = announcement_of("w1", LARGE_WORKER);
            announcement.tasks = vec![
                report(attempt(1, 1), AttemptState::Running),
                report(attempt(2, 1), AttemptState::Stopped { checkpoint: None }),
            ];
            colocation.harness.take_effects();
            colocation.harness.announce(announcement).expect("a lease");
            let yielded = colocation
                .harness
                .take_effects()
                .into_iter()
                .find(|effect| matches!(effect, Effect::RecordYield { .. }));
            let cause = format!("{yielded:?}");
            assert!(cause.contains("Evicted(Interference)"), "{}: {cause}", case.name);
        }
    }
}
