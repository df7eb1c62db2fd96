//! A scheduler with a clock, and short ways to make what goes into it.

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
        explain::Standing,
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

/// Processors and gibibytes.
pub(crate) fn room(processors: u64, gib: u64) -> Resources {
    Resources { millicores: processors * 1_000, memory_mib: gib * 1_024, accelerators: 0 }
}

/// A try.
pub(crate) fn attempt(task: u64, attempt: u32) -> TaskAttempt {
    TaskAttempt { task: TaskId(task), attempt: Attempt(attempt) }
}

/// A batch task that waits for its first try.
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

/// A plan that allows `allowance`.
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

/// A policy in which each customer is on a plan of its own name.
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
                size: room(2, 2),
                replicas: BTreeMap::new(),
                latency: Duration::from_millis(20),
                good_ppm: 999_000,
            },
        )]),
        ..Policy::default()
    }
}

/// What a worker in rack 0 says.
pub(crate) fn announcement(worker: &str, capacity: Resources) -> Announcement {
    Announcement {
        worker: worker.into(),
        incarnation: Incarnation(1),
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

/// A report of a try.
pub(crate) fn report(attempt: TaskAttempt, state: AttemptState) -> TaskReport {
    TaskReport { attempt, state }
}

/// A scheduler with a clock.
pub(crate) struct Desk {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Time,
    pub(crate) config: Config,
    /// What was to be done since it was last taken.
    pub(crate) effects: Vec<Effect>,
}

impl Desk {
    /// A scheduler that holds epoch 1, with customers "ann" and "bob" who may use a lot.
    pub(crate) fn new() -> Self {
        let plenty = plan(burst(room(10_000, 10_000)));
        let mut desk = Self::idle();
        desk.policy(&policy(&[("ann", plenty.clone()), ("bob", plenty)]));
        desk.hold(Some(1));
        desk
    }

    /// A scheduler that knows nothing.
    pub(crate) fn idle() -> Self {
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

    pub(crate) fn hold(&mut self, epoch: Option<u64>) {
        self.event(Event::Leadership { centre: centre(), epoch: epoch.map(Epoch) });
    }

    pub(crate) fn open(&mut self, task: OpenTask) {
        self.event(Event::TaskOpened(Box::new(task)));
    }

    /// Takes an announcement in and gives its answer.
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

    /// Lets time pass, with the council in reach.
    pub(crate) fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.scheduler.next_deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.event(Event::LeadershipConfirmed);
            self.event(Event::Timer);
        }
        self.now = end;
        self.event(Event::LeadershipConfirmed);
    }

    /// The records of tries that were asked for, with their workers; each is then recorded.
    pub(crate) fn starts(&mut self) -> Vec<(TaskAttempt, WorkerName)> {
        let asked = self.asked_starts();
        for (attempt, _) in &asked {
            self.event(Event::StartRecorded { attempt: *attempt });
        }
        asked
    }

    /// The records of tries that were asked for.
    pub(crate) fn asked_starts(&mut self) -> Vec<(TaskAttempt, WorkerName)> {
        let mut asked = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::RecordStart { attempt, worker, .. } => {
                asked.push((*attempt, worker.clone()));
                false
            }
            Effect::RecordYield { .. }
            | Effect::RecordEnd { .. }
            | Effect::Command { .. }
            | Effect::Answer { .. } => true,
        });
        asked
    }

    /// The commands that were sent, in order.
    pub(crate) fn commands(&mut self) -> Vec<(WorkerName, WorkerCommand)> {
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

    /// Everything else that was to be done.
    pub(crate) fn rest(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// What most workers of the tests have.
pub(crate) const BIG: Resources =
    Resources { millicores: 16_000, memory_mib: 65_536, accelerators: 0 };

/// A desk with a task running on "w1".
pub(crate) fn running(change: fn(&mut OpenTask)) -> Desk {
    let mut desk = Desk::new();
    desk.announce(announcement("w1", BIG)).expect("a lease");
    let mut open = task(1, "ann", room(2, 2));
    change(&mut open);
    desk.open(open);
    assert_eq!(desk.starts(), [(attempt(1, 1), "w1".into())]);
    desk.announce(with(AttemptState::Running)).expect("a lease");
    desk.rest();
    desk
}

/// What "w1" says of try 1 of task 1.
pub(crate) fn with(state: AttemptState) -> Announcement {
    let mut said = announcement("w1", BIG);
    said.tasks = vec![report(attempt(1, 1), state)];
    said
}

/// A desk with plans and one worker, "w1".
pub(crate) fn desk_with(plans: &[(&str, Plan)], capacity: Resources) -> Desk {
    let mut desk = Desk::idle();
    desk.policy(&policy(plans));
    desk.hold(Some(1));
    desk.announce(announcement("w1", capacity)).expect("a lease");
    desk
}

/// Where a task stands.
pub(crate) fn standing(desk: &Desk, id: u64) -> Option<Standing> {
    desk.scheduler.explain_task(desk.now, TaskId(id)).map(|task| task.standing)
}
