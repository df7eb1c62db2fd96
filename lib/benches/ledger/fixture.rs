//! A ledger at full size, and the commands of the benchmarks.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use hickorylink_lib::{
    command::{Claim, ClaimResult, Command, Envelope, ListEdit, ListKind, Reply},
    ids::{Attempt, Epoch, Index, InstanceId, TaskAttempt, TaskId, Ticket},
    ledger::{Ledger, Limits},
    resources::Resources,
    task::{Submission, TaskOutcome, TaskSpec},
    time::WallTime,
};

/// The number of workers at full size.
const WORKERS: u64 = 5_500;

/// The number of customers in a plans list of typical size.
const CUSTOMERS: u64 = 100;

/// The number of task kinds.
const KINDS: u64 = 50;

/// The size of a task's payload, in bytes.
const PAYLOAD: usize = 64;

/// The size of a task's output and of a response body, in bytes.
const OUTPUT: usize = 64;

/// A ledger with running tasks.
pub(crate) struct LoadedLedger {
    /// The ledger.
    pub(crate) ledger: Ledger,
    /// The number of commands so far.
    pub(crate) commands: u64,
    /// The total encoded size of the commands.
    pub(crate) bytes: u64,
    index: u64,
    number: u64,
    running: VecDeque<TaskId>,
}

impl LoadedLedger {
    /// A ledger with `running` running tasks.
    pub(crate) fn new(running: usize) -> Self {
        let ledger = Ledger::new(Limits::default());
        let (commands, bytes, index, number) = (0, 0, 0, 0);
        let mut loaded = Self { ledger, commands, bytes, index, number, running: VecDeque::new() };
        loaded.edit(ListKind::Plans, plans());
        loaded.edit(ListKind::Usage, usage());
        let (holder, previous) = (InstanceId(1), Epoch(0));
        loaded.apply(Command::GrantCentre { centre: "akl-a".into(), holder, previous });
        for _ in 0..running {
            loaded.submit_and_start();
        }
        loaded
    }

    fn edit(&mut self, list: ListKind, text: String) {
        let edit = ListEdit { list, edit: 1, author: "ann".into(), text };
        let reply = self.apply(Command::EditList(edit));
        assert!(matches!(reply, Reply::Edited { .. }), "{reply:?}");
    }

    /// Encodes, decodes and applies a command.
    pub(crate) fn apply(&mut self, command: Command) -> Reply {
        let envelope = self.envelope(command);
        let bytes = hickorylink_lib::codec::encode_envelope(&envelope);
        self.commands += 1;
        self.bytes += bytes.len() as u64;
        let envelope =
            hickorylink_lib::codec::decode_envelope(&bytes).expect("the encoding is valid");
        self.ledger.apply(Index(self.index), &envelope, &mut Vec::new())
    }

    fn envelope(&mut self, command: Command) -> Envelope {
        self.index += 1;
        let (origin, ticket) = (InstanceId(0x1234_5678_9abc), Ticket(self.index));
        Envelope { origin, ticket, at: WallTime(1_800_000_000_000 + self.index), command }
    }

    fn submission(&mut self) -> Command {
        self.number += 1;
        let n = self.number;
        let spec = TaskSpec {
            kind: format!("kind-{}", n % KINDS).as_str().into(),
            size: Resources { millicores: 500 + 100 * (n % 8), memory_mib: 1024, accelerators: 0 },
            run_time: Duration::from_secs(400),
            urgent: false,
            idempotent: !n.is_multiple_of(3),
            centre: None,
            service: None,
            payload: Bytes::from(vec![n as u8; PAYLOAD]),
        };
        let customer = customer(n).as_str().into();
        let key = format!("0a1b2c3d-{n:08}").as_str().into();
        Command::Submit(Submission { customer, key, spec })
    }

    /// Submits a task.
    pub(crate) fn submit(&mut self) -> TaskId {
        let submission = self.submission();
        match self.apply(submission) {
            Reply::Submitted { task } => task,
            reply => panic!("{reply:?}"),
        }
    }

    /// Starts a task.
    pub(crate) fn start(&mut self, task: TaskId) {
        let attempt = TaskAttempt { task, attempt: Attempt(1) };
        let worker = format!("worker-{:04}", task.0 % WORKERS).as_str().into();
        let (centre, epoch) = ("akl-a".into(), Epoch(1));
        let reply = self.apply(Command::Start { centre, epoch, attempt, worker });
        assert_eq!(reply, Reply::Done);
        self.running.push_back(task);
    }

    /// Submits and starts a task.
    pub(crate) fn submit_and_start(&mut self) {
        let task = self.submit();
        self.start(task);
    }

    /// Ends the task that has run the longest.
    pub(crate) fn end(&mut self) {
        let Some(task) = self.running.pop_front() else { return };
        let attempt = TaskAttempt { task, attempt: Attempt(1) };
        let outcome = TaskOutcome::Completed { output: Bytes::from(vec![1; OUTPUT]) };
        let (centre, epoch) = ("akl-a".into(), Epoch(1));
        let reply = self.apply(Command::End { centre, epoch, attempt, outcome });
        assert_eq!(reply, Reply::Done);
    }

    /// Claims and settles a key.
    pub(crate) fn claim_and_settle(&mut self) {
        self.number += 1;
        let n = self.number;
        let (customer, key) = (customer(n), format!("9f8e7d6c-{n:08}"));
        let (owner, request) = (InstanceId(n % 9), n);
        let claim = Claim {
            customer: customer.as_str().into(),
            key: key.as_str().into(),
            digest: [n as u8; 32],
            owner,
            request,
        };
        assert_eq!(self.apply(Command::Claim(claim)), Reply::Claimed);
        let body = Some(Bytes::from(vec![1; OUTPUT]));
        let result = ClaimResult::Ran { status: 200, body };
        let (customer, key) = (customer.as_str().into(), key.as_str().into());
        let reply = self.apply(Command::Settle { customer, key, owner, request, result });
        assert_eq!(reply, Reply::Done);
    }
}

fn customer(n: u64) -> String {
    format!("customer-{:03}", n % CUSTOMERS)
}

fn plans() -> String {
    let customers = (0..CUSTOMERS).map(|n| {
        let name = customer(n);
        format!(r#"{{ "name": "{name}", "plan": "gold", "credential": "blake3:{n:064x}" }}"#)
    });
    let customers: Vec<_> = customers.collect();
    format!(
        r#"{{ "version": 1,
        "operators": [{{ "name": "ann", "credential": "blake3:{}" }}],
        "plans": [{{ "name": "gold", "objective": "latency" }}],
        "customers": [{}] }}"#,
        "f".repeat(64),
        customers.join(",\n")
    )
}

fn usage() -> String {
    r#"{ "version": 1, "usage": [{ "plan": "gold", "burst": { "processors": 4000 } }] }"#.to_owned()
}
