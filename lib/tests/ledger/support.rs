//! A ledger fixture, and builders of commands and replies.

use std::time::Duration;

use bytes::Bytes;
use hickorylink_lib::{
    command::{
        Claim, ClaimResult, Command, Envelope, ListEdit, ListKind, Refusal, Reply, YieldCause,
    },
    ids::{Attempt, Epoch, Index, InstanceId, TaskAttempt, TaskId, Ticket},
    ledger::{Ledger, Limits, change::Change},
    resources::Resources,
    task::{Checkpoint, EvictionReason, Submission, TaskOutcome, TaskSpec},
    time::WallTime,
};

/// A ledger with the index and the time of the last entry.
pub(crate) struct Fixture {
    pub(crate) ledger: Ledger,
    pub(crate) index: u64,
    pub(crate) at: u64,
    /// The changes of all commands so far.
    pub(crate) changes: Vec<Change>,
}

impl Fixture {
    pub(crate) fn new(limits: Limits) -> Self {
        Self { ledger: Ledger::new(limits), index: 0, at: 1_000, changes: Vec::new() }
    }

    /// A ledger with both lists, where epoch 1 of `akl-a` is held by instance 1 and epoch 1 of
    /// `akl-b` by instance 2.
    pub(crate) fn ready() -> Self {
        Self::ready_with(Limits::default())
    }

    pub(crate) fn ready_with(limits: Limits) -> Self {
        let mut fixture = Self::new(limits);
        assert!(matches!(fixture.apply(&plans(1, 1, 0)), Reply::Edited { .. }));
        assert!(matches!(fixture.apply(&usage(1, 2)), Reply::Edited { .. }));
        assert_eq!(fixture.apply(&grant("akl-a", 1, 0)), Reply::Granted { epoch: Epoch(1) });
        assert_eq!(fixture.apply(&grant("akl-b", 2, 0)), Reply::Granted { epoch: Epoch(1) });
        fixture
    }

    /// Applies a command as the next entry.
    pub(crate) fn apply(&mut self, command: &Command) -> Reply {
        self.index += 1;
        self.at += 1;
        let envelope = envelope(self.index, self.at, command);
        self.ledger.apply(Index(self.index), &envelope, &mut self.changes)
    }

    /// Applies a command and returns the changes that it makes.
    pub(crate) fn changes_of(&mut self, command: &Command) -> Vec<Change> {
        let before = self.changes.len();
        self.apply(command);
        self.changes[before..].to_vec()
    }

    pub(crate) fn count(&self, customer: &str) -> u64 {
        let mut counts = self.ledger.counts();
        counts.find(|(name, _)| name.as_str() == customer).map_or(0, |(_, count)| count)
    }
}

pub(crate) fn envelope(index: u64, at: u64, command: &Command) -> Envelope {
    Envelope {
        origin: InstanceId(1),
        ticket: Ticket(index),
        at: WallTime(at),
        command: command.clone(),
    }
}

/// A plans list with customers `store` and `member`, and a service with `replicas` in `akl-a`.
pub(crate) fn plans_text(version: u64, replicas: u32) -> String {
    let hash = |digit: &str| digit.repeat(64);
    format!(
        r#"{{ "version": {version},
        "operators": [{{ "name": "ann", "credential": "blake3:{}" }}],
        "plans": [
            {{ "name": "gold", "objective": "latency", "services": ["desk"] }},
            {{ "name": "iron", "objective": "throughput" }},
        ],
        "customers": [
            {{ "name": "store", "plan": "gold", "credential": "blake3:{}" }},
            {{ "name": "member", "plan": "iron", "credential": "blake3:{}" }},
        ],
        "services": [{{
            "name": "desk", "owner": "store", "size": {{ "processors": 1, "memory_gib": 1 }},
            "replicas": {{ "akl-a": {replicas} }}, "latency_ms": 50,
        }}] }}"#,
        hash("1"),
        hash("2"),
        hash("3"),
    )
}

pub(crate) fn plans(version: u64, edit: u128, replicas: u32) -> Command {
    let text = plans_text(version, replicas);
    let author = "ann".into();
    Command::EditList(ListEdit { list: ListKind::Plans, edit, author, text })
}

pub(crate) fn usage(version: u64, edit: u128) -> Command {
    let text = format!(
        r#"{{ "version": {version}, "usage": [
            {{ "plan": "gold", "guaranteed": {{ "processors": 8, "memory_gib": 8 }} }},
            {{ "plan": "iron", "burst": {{ "processors": 4, "memory_gib": 4 }} }},
        ] }}"#
    );
    let author = "bob".into();
    Command::EditList(ListEdit { list: ListKind::Usage, edit, author, text })
}

pub(crate) fn spec(idempotent: bool) -> TaskSpec {
    TaskSpec {
        kind: "settle".into(),
        size: Resources { millicores: 500, memory_mib: 256, accelerators: 0 },
        run_time: Duration::from_secs(60),
        urgent: false,
        idempotent,
        centre: None,
        service: None,
        payload: Bytes::from_static(b"run 7"),
    }
}

pub(crate) fn submit(customer: &str, key: &str, idempotent: bool) -> Command {
    let spec = spec(idempotent);
    Command::Submit(Submission { customer: customer.into(), key: key.into(), spec })
}

pub(crate) fn cancel(customer: &str, task: u64) -> Command {
    Command::Cancel { customer: customer.into(), task: TaskId(task) }
}

pub(crate) fn attempt(task: u64, attempt: u32) -> TaskAttempt {
    TaskAttempt { task: TaskId(task), attempt: Attempt(attempt) }
}

pub(crate) fn start(centre: &str, epoch: u64, (task, number): (u64, u32)) -> Command {
    Command::Start {
        centre: centre.into(),
        epoch: Epoch(epoch),
        attempt: attempt(task, number),
        worker: "w1".into(),
    }
}

pub(crate) fn yields(
    centre: &str,
    epoch: u64,
    (task, number): (u64, u32),
    checkpoint: Option<u32>,
    cause: YieldCause,
) -> Command {
    let checkpoint = checkpoint.map(|from| Checkpoint {
        attempt: Attempt(from),
        permille: 500,
        handle: format!("c{from}"),
    });
    let (centre, epoch) = (centre.into(), Epoch(epoch));
    Command::Yield { centre, epoch, attempt: attempt(task, number), checkpoint, cause }
}

pub(crate) fn evicted(reason: EvictionReason) -> YieldCause {
    YieldCause::Evicted(reason)
}

pub(crate) fn failed() -> YieldCause {
    YieldCause::Failed { reason: "exit 1".to_owned() }
}

pub(crate) fn end(
    centre: &str,
    epoch: u64,
    (task, number): (u64, u32),
    outcome: TaskOutcome,
) -> Command {
    let (centre, epoch) = (centre.into(), Epoch(epoch));
    Command::End { centre, epoch, attempt: attempt(task, number), outcome }
}

pub(crate) fn completed() -> TaskOutcome {
    TaskOutcome::Completed { output: Bytes::from_static(b"done") }
}

pub(crate) fn claim(
    customer: &str,
    key: &str,
    digest: u8,
    (owner, request): (u64, u64),
) -> Command {
    Command::Claim(Claim {
        customer: customer.into(),
        key: key.into(),
        digest: [digest; 32],
        owner: InstanceId(owner),
        request,
    })
}

pub(crate) fn settle(
    customer: &str,
    key: &str,
    (owner, request): (u64, u64),
    result: ClaimResult,
) -> Command {
    let (customer, key) = (customer.into(), key.into());
    Command::Settle { customer, key, owner: InstanceId(owner), request, result }
}

pub(crate) fn ran() -> ClaimResult {
    ClaimResult::Ran { status: 200, body: Some(Bytes::from_static(b"ok")) }
}

pub(crate) fn count(instance: u64, sequence: u64, customer: &str, requests: u64) -> Command {
    let counts = vec![(customer.into(), requests)];
    Command::Count { instance: InstanceId(instance), sequence, counts }
}

pub(crate) fn grant(centre: &str, holder: u64, previous: u64) -> Command {
    let (holder, previous) = (InstanceId(holder), Epoch(previous));
    Command::GrantCentre { centre: centre.into(), holder, previous }
}

pub(crate) fn release(centre: &str, epoch: u64) -> Command {
    Command::ReleaseCentre { centre: centre.into(), epoch: Epoch(epoch) }
}

pub(crate) fn submitted(task: u64) -> Reply {
    Reply::Submitted { task: TaskId(task) }
}

pub(crate) fn stale(newest: u64) -> Reply {
    Reply::Refused(Refusal::StaleEpoch { newest: Epoch(newest) })
}

pub(crate) fn refused(refusal: Refusal) -> Reply {
    Reply::Refused(refusal)
}

/// Commands with the expected replies, applied to a ready ledger.
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) steps: Vec<(Command, Reply)>,
}

/// Runs the cases, and checks that the resulting ledgers survive encoding and decoding.
pub(crate) fn run(cases: Vec<Case>) {
    for case in cases {
        let mut fixture = Fixture::ready();
        for (at, (command, want)) in case.steps.iter().enumerate() {
            assert_eq!(fixture.apply(command), *want, "{}, step {at}: {command:?}", case.name);
        }
        let decoded = Ledger::decode(&fixture.ledger.encode()).expect("the snapshot is valid");
        assert_eq!(decoded.encode(), fixture.ledger.encode(), "{}: a snapshot", case.name);
    }
}

pub(crate) fn lease_expired() -> YieldCause {
    evicted(EvictionReason::LeaseExpired)
}
