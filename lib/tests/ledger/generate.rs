//! Random commands. They use only a few names and numbers, so that they often conflict.

use hickorylink_lib::{
    command::{ClaimResult, Command, ListKind, YieldCause},
    ids::TaskId,
    task::{EvictionReason, TaskOutcome, TaskState},
};
use quickcheck::{Arbitrary, Gen};

use crate::support::{
    Fixture, cancel, claim, completed, count, end, evicted, failed, grant, plans, ran, release,
    settle, start, submit, usage, yields,
};

const CENTRES: [&str; 2] = ["akl-a", "akl-b"];
const CUSTOMERS: [&str; 3] = ["store", "member", "nobody"];
const KEYS: [&str; 3] = ["k1", "k2", "k3"];

/// The random numbers from which a command is built.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GeneratedCommand {
    kind: u8,
    a: u8,
    b: u8,
    c: u8,
    /// Whether the command is valid in the current state, like one from a correct instance.
    valid: bool,
}

impl Arbitrary for GeneratedCommand {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 24,
            a: u8::arbitrary(g),
            b: u8::arbitrary(g),
            c: u8::arbitrary(g),
            valid: u8::arbitrary(g) % 4 > 0,
        }
    }
}

fn pick<T: Copy>(from: &[T], number: u8) -> T {
    from[usize::from(number) % from.len()]
}

impl GeneratedCommand {
    /// Builds the command for the current state of the ledger.
    pub(crate) fn command(self, fixture: &Fixture) -> Command {
        let Self { kind, a, b, c, .. } = self;
        let (customer, key) = (pick(&CUSTOMERS, a), pick(&KEYS, b));
        let owner = (1 + u64::from(a % 2), u64::from(c % 4));
        match kind {
            0..=2 => submit(customer, &format!("{key}-{}", c % 4), a % 3 > 0),
            3 => cancel(customer, u64::from(b % 8)),
            4..=7 => self.start(fixture),
            8..=10 => self.yields(fixture),
            11..=12 => self.end(fixture),
            13..=15 => claim(customer, key, c % 2, owner),
            16..=18 => settle(customer, key, owner, self.result()),
            19 => count(1 + u64::from(a % 2), u64::from(b % 8), customer, u64::from(c % 4)),
            20 => grant(pick(&CENTRES, a), 1 + u64::from(b % 3), self.epoch(fixture)),
            21 if c % 4 == 0 => release(pick(&CENTRES, a), self.epoch(fixture)),
            21 | 22 => plans(self.version(fixture, true), edit(a), u32::from(b % 4)),
            _ => usage(self.version(fixture, false), edit(a)),
        }
    }

    fn result(self) -> ClaimResult {
        match self.c / 4 % 3 {
            0 => ran(),
            1 => ClaimResult::NotRun,
            _ => ClaimResult::Unknown,
        }
    }

    fn epoch(self, fixture: &Fixture) -> u64 {
        let newest = fixture.ledger.newest_epoch(&pick(&CENTRES, self.a).into()).0;
        if self.valid { newest } else { u64::from(self.c % 4) }
    }

    fn version(self, fixture: &Fixture, plans: bool) -> u64 {
        let list = if plans { ListKind::Plans } else { ListKind::Usage };
        let current = fixture.ledger.accepted_list(list).map_or(0, |current| current.version);
        if self.valid { current + 1 } else { u64::from(self.c % 8) }
    }

    /// A task, its last attempt, and the data centre in which it runs, if it does.
    fn task(self, fixture: &Fixture) -> (u64, u32, &'static str) {
        let task = u64::from(self.b % 8);
        let centre = pick(&CENTRES, self.a);
        let Some(view) = fixture.ledger.task(TaskId(task)) else { return (task, 1, centre) };
        let open = view.to_open();
        let ran = open.next.0 - 1;
        match open.state {
            TaskState::Running { centre, .. } => {
                let known = CENTRES.into_iter().find(|known| *known == centre.as_str());
                (task, ran, known.expect("there are two"))
            }
            TaskState::Queued | TaskState::Ended(_) => (task, ran, centre),
        }
    }

    fn start(self, fixture: &Fixture) -> Command {
        let (task, ran, centre) = self.task(fixture);
        let number = if self.valid { ran + 1 } else { u32::from(self.c % 4) };
        start(centre, fixture.ledger.newest_epoch(&centre.into()).0, (task, number))
    }

    fn yields(self, fixture: &Fixture) -> Command {
        let (task, ran, centre) = self.task(fixture);
        let number = if self.valid { ran } else { u32::from(self.c % 4) };
        let checkpoint = self.a.is_multiple_of(2).then_some(number);
        let cause = match self.c / 4 % 4 {
            0 => evicted(EvictionReason::LeaseExpired),
            1 => evicted(EvictionReason::Preemption),
            2 => failed(),
            _ => YieldCause::NotStarted,
        };
        let epoch = fixture.ledger.newest_epoch(&centre.into()).0;
        yields(centre, epoch, (task, number), checkpoint, cause)
    }

    fn end(self, fixture: &Fixture) -> Command {
        let (task, ran, centre) = self.task(fixture);
        let number = if self.valid { ran } else { u32::from(self.c % 4) };
        let outcome = match self.c / 4 % 4 {
            0 | 1 => completed(),
            2 => TaskOutcome::Cancelled,
            _ => TaskOutcome::Unknown { reason: "silent".to_owned() },
        };
        end(centre, fixture.ledger.newest_epoch(&centre.into()).0, (task, number), outcome)
    }
}

/// One of a few edit numbers, so that edits are resent.
fn edit(number: u8) -> u128 {
    100 + u128::from(number % 32)
}
