//! A scheduler with a simulated clock, and functions that build its inputs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hickorylink_lib::{
    ids::{
        Attempt, CustomerName, DataCentre, Epoch, Incarnation, Rack, ServiceName, TaskAttempt,
        TaskId, TaskKind, WorkerName,
    },
    policy::{Allowance, CredentialHash, Customer, Objective, Plan, Policy, Service},
    resources::Resources,
    scheduler::{
        Scheduler,
        config::Config,
        explain::TaskStatus,
        port::{Effect, Event},
    },
    task::{OpenTask, TaskSpec, TaskState},
    time::Time,
    worker::{Announcement, AttemptState, LeaseAnswer, TaskReport, WorkerCommand},
};

/// The data centre of the tests.
pub(crate) fn centre() -> DataCentre {
    "akl-a".into()
}

/// Resources of this many processors and gibibytes of memory.
pub(crate) fn resources(processors: u64, gib: u64) -> Resources {
    Resources { millicores: processors * 1_000, memory_mib: gib * 1_024, accelerators: 0 }
}

/// The attempt of a task with these numbers.
pub(crate) fn attempt(task: u64, attempt: u32) -> TaskAttempt {
    TaskAttempt { task: TaskId(task), attempt: Attempt(attempt) }
}

/// A queued batch task without attempts.
pub(crate) fn task(id: u64, customer: &str, size: Resources) -> OpenTask {
    OpenTask {
        task: TaskId(id),
        customer: customer.into(),
        spec: TaskSpec {
            kind: TaskKind::from("fold"),
            size,
            run_time: Duration::from_secs(60),
            urgent: false,
            idempotent: true,
            centre: None,
            service: None,
            payload: Vec::new().into(),
        },
        state: TaskState::Queued,
        next: Attempt(1),
        checkpoint: None,
        evictions: 0,
        failures: 0,
        cancelled: false,
    }
}

/// A plan with an allowance.
pub(crate) fn plan(allowance: Allowance) -> Plan {
    Plan {
        objective: Objective::Throughput,
        urgent: true,
        weight: 1,
        retry_permille: 100,
        exact_counts: false,
        task_evictions: 3,
        hourly_evictions: 100,
        services: Vec::new(),
        allowance,
    }
}

/// An allowance without a guarantee.
pub(crate) fn burst(burst: Resources) -> Allowance {
    Allowance { guaranteed: Resources::ZERO, burst, best_effort: Resources::ZERO }
}

/// A policy in which each customer has a plan of its own name.
pub(crate) fn policy(plans: &[(&str, Plan)]) -> Policy {
    let credential = CredentialHash::of("secret");
    Policy {
        plans: plans.iter().map(|(name, plan)| ((*name).into(), plan.clone())).collect(),
        customers: plans
            .iter()
            .map(|(name, _)| {
                (CustomerName::from(*name), Customer { plan: (*name).into(), credential })
            })
            .collect(),
        services: BTreeMap::from([(
            ServiceName::from("folddesk"),
            Service {
                owner: "ann".into(),
                size: resources(2, 2),
                replicas: BTreeMap::new(),
                latency: Duration::from_millis(20),
                good_ppm: 999_000,
            },
        )]),
        ..Policy::default()
    }
}

/// An announcement of a worker in rack 0 without tasks.
pub(crate) fn announcement_of(worker: &str, capacity: Resources) -> Announcement {
    Announcement {
        worker: worker.into(),
        incarnation: Incarnation(1),
        clock: None,
        centre: centre(),
        rack: Rack::from("r0"),
        address: "10.0.0.1:7000".into(),
        capacity,
        leaving: false,
        epoch: Epoch(1),
        tasks: Vec::new(),
        targets: Vec::new(),
        samples: Vec::new(),
    }
}

/// A report of an attempt.
pub(crate) fn report(attempt: TaskAttempt, state: AttemptState) -> TaskReport {
    TaskReport { attempt, state }
}

/// A scheduler with a simulated clock.
pub(crate) struct Harness {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Time,
    pub(crate) config: Config,
    /// The effects since they were last taken.
    pub(crate) effects: Vec<Effect>,
}

impl Harness {
    /// A scheduler that holds epoch 1, with customers "ann" and "bob" who have large quotas.
    pub(crate) fn new() -> Self {
        let plenty = plan(burst(resources(10_000, 10_000)));
        let mut harness = Self::without_leadership();
        harness.policy(&policy(&[("ann", plenty.clone()), ("bob", plenty)]));
        harness.set_leadership(Some(1));
        harness
    }

    /// A scheduler that holds no epoch and knows no policy.
    pub(crate) fn without_leadership() -> Self {
        let config = Config::new(centre());
        let now = Time::from_millis(1_000);
        let scheduler = Scheduler::new(config.clone(), now, 7);
        Self { scheduler, now, config, effects: Vec::new() }
    }

    pub(crate) fn event(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.effects);
    }

    pub(crate) fn policy(&mut self, policy: &Policy) {
        self.event(Event::Policy(Arc::new(policy.clone())));
    }

    pub(crate) fn set_leadership(&mut self, epoch: Option<u64>) {
        self.event(Event::Leadership { centre: centre(), epoch: epoch.map(Epoch) });
    }

    pub(crate) fn open_task(&mut self, task: OpenTask) {
        self.event(Event::TaskOpened(Box::new(task)));
    }

    /// Sends an announcement and returns its answer.
    pub(crate) fn announce(&mut self, announcement: Announcement) -> Result<LeaseAnswer, String> {
        let announcement = Box::new(announcement);
        self.event(Event::Announced { ticket: 1, announcement });
        let at = self
            .effects
            .iter()
            .position(|effect| matches!(effect, Effect::Answer { .. }))
            .expect("each announcement is answered");
        match self.effects.remove(at) {
            Effect::Answer { answer, .. } => answer,
            other => panic!("not an answer: {other:?}"),
        }
    }

    /// Advances the clock; leadership is confirmed all along.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.scheduler.next_deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.event(Event::LeadershipConfirmed);
            self.event(Event::Timer);
        }
        self.now = end;
        self.event(Event::LeadershipConfirmed);
    }

    /// Takes the proposed starts with their workers, and records each of them.
    pub(crate) fn record_starts(&mut self) -> Vec<(TaskAttempt, WorkerName)> {
        let proposed = self.proposed_starts();
        for (attempt, _) in &proposed {
            self.event(Event::StartRecorded { attempt: *attempt });
        }
        proposed
    }

    /// Takes the proposed starts with their workers.
    pub(crate) fn proposed_starts(&mut self) -> Vec<(TaskAttempt, WorkerName)> {
        let mut proposed = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::RecordStart { attempt, worker, .. } => {
                proposed.push((*attempt, worker.clone()));
                false
            }
            Effect::RecordYield { .. }
            | Effect::RecordEnd { .. }
            | Effect::Command { .. }
            | Effect::Answer { .. } => true,
        });
        proposed
    }

    /// Takes the commands that were sent, in order.
    pub(crate) fn take_commands(&mut self) -> Vec<(WorkerName, WorkerCommand)> {
        let mut sent = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Command { worker, commands, .. } => {
                sent.extend(commands.iter().map(|command| (worker.clone(), command.clone())));
                false
            }
            Effect::RecordStart { .. }
            | Effect::RecordYield { .. }
            | Effect::RecordEnd { .. }
            | Effect::Answer { .. } => true,
        });
        sent
    }

    /// Takes all remaining effects.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// The capacity of most workers in the tests.
pub(crate) const LARGE_WORKER: Resources =
    Resources { millicores: 16_000, memory_mib: 65_536, accelerators: 0 };

/// A harness with a task running on "w1".
pub(crate) fn harness_running(change: fn(&mut OpenTask)) -> Harness {
    let mut harness = Harness::new();
    harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
    let mut open = task(1, "ann", resources(2, 2));
    change(&mut open);
    harness.open_task(open);
    assert_eq!(harness.record_starts(), [(attempt(1, 1), "w1".into())]);
    harness.announce(announcement_with(AttemptState::Running)).expect("a lease");
    harness.take_effects();
    harness
}

/// An announcement of "w1" with a report of attempt 1 of task 1.
pub(crate) fn announcement_with(state: AttemptState) -> Announcement {
    let mut announcement = announcement_of("w1", LARGE_WORKER);
    announcement.tasks = vec![report(attempt(1, 1), state)];
    announcement
}

/// A harness with plans and one worker, "w1".
pub(crate) fn harness_with(plans: &[(&str, Plan)], capacity: Resources) -> Harness {
    let mut harness = Harness::without_leadership();
    harness.policy(&policy(plans));
    harness.set_leadership(Some(1));
    harness.announce(announcement_of("w1", capacity)).expect("a lease");
    harness
}

/// The status of a task.
pub(crate) fn status(harness: &Harness, id: u64) -> Option<TaskStatus> {
    harness.scheduler.explain_task(harness.now, TaskId(id)).map(|task| task.status)
}
