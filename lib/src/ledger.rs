//! The state that the council's log adds up to: lists, tasks, claims, counts and epochs.
//!
//! Applying an entry is deterministic and idempotent: every instance that applied the same
//! entries holds the same state. Time is that of the entries alone.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ResultExt as _;

use crate::{
    codec::{self, FormatSnafu, MalformedSnafu},
    command::{Claim, Command, Envelope, ListEdit, ListKind, Refusal, Reply},
    ids::{CustomerName, DataCentre, Epoch, IdempotencyKey, Index, InstanceId, TaskId},
    ledger::{
        centres::Centres,
        change::Change,
        claims::Claims,
        counts::Counts,
        life::{Input, Scene},
        names::Names,
        standing::Lists,
        tasks::{Placement, Tasks},
    },
    policy::Policy,
    task::Submission,
    time::WallTime,
};

mod centres;
pub mod change;
mod claims;
mod counts;
pub mod life;
mod limits;
mod load;
mod names;
mod replicas;
mod standing;
mod tasks;

pub use self::{
    claims::ClaimView,
    limits::{Limits, PAYLOAD_UNIT},
    standing::Standing,
    tasks::TaskView,
};
pub use crate::codec::DecodeError;

/// The format of an encoded ledger.
const FORMAT: u8 = 1;

/// What most tasks are encoded in, in bytes.
const TASK_LEN: usize = 256;

/// The state that the log adds up to.
#[derive(Clone, Debug)]
pub struct Ledger {
    state: State,
    names: Names,
}

/// What a snapshot holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct State {
    limits: Limits,
    applied: Index,
    now: WallTime,
    policy: Arc<Policy>,
    lists: Lists,
    tasks: Tasks,
    claims: Claims,
    counts: Counts,
    centres: Centres,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: Limits) -> Self {
        let state = State {
            limits,
            applied: Index(0),
            now: WallTime(0),
            policy: Arc::default(),
            lists: Lists::default(),
            tasks: Tasks::default(),
            claims: Claims::default(),
            counts: Counts::default(),
            centres: Centres::default(),
        };
        Self { state, names: Names::default() }
    }

    /// Reads the ledger that [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// The bytes are of another format, or aren't a whole ledger.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (format, body) = match bytes.split_first() {
            Some((format, body)) => (*format, body),
            None => (0, bytes),
        };
        if format != FORMAT {
            return FormatSnafu { found: format, expected: FORMAT }.fail();
        }
        let mut state: State = postcard::from_bytes(body).context(MalformedSnafu)?;
        let mut names = Names::default();
        state.tasks.restore(&mut names);
        Ok(Self { state, names })
    }

    /// The whole state as bytes; two ledgers that applied the same entries give the same.
    pub fn encode(&self) -> Bytes {
        let tasks = self.state.tasks.open.len() + self.state.tasks.ended.len();
        let mut bytes = Vec::with_capacity(TASK_LEN * tasks);
        bytes.push(FORMAT);
        codec::extend(bytes, &self.state).into()
    }

    /// Applies the entry at `index`, answers its command, and adds what changed to `changes`.
    ///
    /// An entry that was applied before changes nothing.
    pub fn apply(&mut self, index: Index, envelope: &Envelope, changes: &mut Vec<Change>) -> Reply {
        if index <= self.state.applied {
            return Reply::Done;
        }
        self.state.applied = index;
        self.state.now = self.state.now.max(envelope.at);
        let reply = self.carry_out(&envelope.command, changes);
        self.forget();
        reply
    }

    /// Notes an entry without a command.
    pub fn skip(&mut self, index: Index) {
        self.state.applied = self.state.applied.max(index);
    }

    /// The last entry that was applied.
    pub fn applied(&self) -> Index {
        self.state.applied
    }

    /// The policy in force; empty until there is a list of plans.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.state.policy
    }

    /// A task, open or ended and still kept.
    pub fn task(&self, task: TaskId) -> Option<TaskView<'_>> {
        self.state.tasks.get(task)
    }

    /// All tasks that haven't ended, by number.
    pub fn open_tasks(&self) -> impl Iterator<Item = TaskView<'_>> {
        self.state.tasks.open()
    }

    /// How many tasks haven't ended.
    pub fn open_count(&self) -> usize {
        self.state.tasks.open.len()
    }

    /// The data centre that looks after a task that may run anywhere.
    pub fn home_of(&self, task: TaskId) -> Option<&DataCentre> {
        self.state.centres.home_of(task)
    }

    /// The newest epoch of a data centre and its holder, if it is held.
    pub fn centre(&self, centre: &DataCentre) -> Option<(Epoch, InstanceId)> {
        self.state.centres.holder(centre)
    }

    /// The newest epoch of a data centre, held or not; 0 if there was none.
    pub fn last_epoch(&self, centre: &DataCentre) -> Epoch {
        self.state.centres.newest(centre)
    }

    /// All data centres whose epoch is held.
    pub fn centres(&self) -> impl Iterator<Item = (&DataCentre, Epoch, InstanceId)> {
        self.state.centres.held()
    }

    /// Completed requests and tasks by customer.
    pub fn counts(&self) -> impl Iterator<Item = (&CustomerName, u64)> {
        self.state.counts.iter()
    }

    /// What is known of a claimed key, unless it is free.
    pub fn claim(&self, customer: &CustomerName, key: &IdempotencyKey) -> Option<ClaimView<'_>> {
        self.state.claims.get(customer, key)
    }

    /// The list that stands.
    pub fn list_text(&self, list: ListKind) -> Option<&Standing> {
        self.state.lists.get(list)
    }

    fn carry_out(&mut self, command: &Command, changes: &mut Vec<Change>) -> Reply {
        match command {
            Command::EditList(edit) => self.edit(edit, changes),
            Command::Submit(submission) => self.submit(submission, changes),
            Command::Cancel { customer, task } => self.cancel(customer, *task, changes),
            Command::Start { centre, epoch, attempt, worker } => {
                let placement = Placement {
                    attempt: attempt.attempt,
                    epoch: *epoch,
                    centre: centre.clone(),
                    worker: worker.clone(),
                };
                self.report(centre, *epoch, attempt.task, Input::Start(&placement), changes)
            }
            Command::Yield { centre, epoch, attempt, checkpoint, cause } => {
                let checkpoint = checkpoint.as_ref();
                let input = Input::Yield { attempt: *attempt, centre, checkpoint, cause };
                self.report(centre, *epoch, attempt.task, input, changes)
            }
            Command::End { centre, epoch, attempt, outcome } => {
                let input = Input::End { attempt: *attempt, centre, outcome };
                self.report(centre, *epoch, attempt.task, input, changes)
            }
            Command::Claim(claim) => self.take_claim(claim),
            Command::Settle { customer, key, owner, request, result } => {
                let state = &mut self.state;
                let holder = (*owner, *request);
                let (reply, counts) =
                    state.claims.settle(customer, key, holder, result, &state.limits);
                if counts {
                    state.counts.add(customer, 1);
                }
                reply
            }
            Command::Count { instance, sequence, counts } => {
                self.state.counts.batch(*instance, *sequence, counts, self.state.now);
                Reply::Done
            }
            Command::GrantCentre { centre, holder, previous } => {
                self.state.centres.grant(centre, *holder, *previous, changes)
            }
            Command::ReleaseCentre { centre, epoch } => {
                self.state.centres.release(centre, *epoch, changes)
            }
        }
    }

    fn edit(&mut self, edit: &ListEdit, changes: &mut Vec<Change>) -> Reply {
        let state = &mut self.state;
        let (reply, policy) = state.lists.edit(edit, state.limits.edits_max);
        if let Some(policy) = policy {
            self.state.policy = Arc::new(policy);
            changes.push(Change::Policy(self.state.policy.clone()));
            self.with_scene(changes, |tasks, scene| tasks.reconcile(scene));
        }
        reply
    }

    fn submit(&mut self, submission: &Submission, changes: &mut Vec<Change>) -> Reply {
        if let Some(first) = self.state.tasks.resent(submission) {
            return first;
        }
        match self.state.policy.plan_of(&submission.customer) {
            Some(_) if !self.state.tasks.has_room(submission, self.state.limits.open_max) => {
                Reply::Refused(Refusal::TooManyTasks)
            }
            Some(_) => self.state.tasks.submit(submission, &mut self.names, changes),
            None => Reply::Refused(Refusal::NoSuchCustomer),
        }
    }

    fn cancel(
        &mut self,
        customer: &CustomerName,
        task: TaskId,
        changes: &mut Vec<Change>,
    ) -> Reply {
        // A replica is the operators' to cancel, by the list.
        let own = self
            .task(task)
            .is_some_and(|view| view.customer() == customer && view.spec().service.is_none());
        match own {
            true => self.step(task, Input::Cancel, changes),
            false => Reply::Refused(Refusal::NoSuchTask),
        }
    }

    fn take_claim(&mut self, claim: &Claim) -> Reply {
        let resent = self.claim(&claim.customer, &claim.key).is_some();
        match resent || self.state.policy.customers.contains_key(&claim.customer) {
            true => self.state.claims.claim(claim, self.state.now),
            false => Reply::Refused(Refusal::NoSuchCustomer),
        }
    }

    /// Takes in what the holder of a data centre's epoch says about a task.
    fn report(
        &mut self,
        centre: &DataCentre,
        epoch: Epoch,
        task: TaskId,
        input: Input<'_>,
        changes: &mut Vec<Change>,
    ) -> Reply {
        match self.state.centres.check(centre, epoch) {
            Ok(()) => self.step(task, input, changes),
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    fn step(&mut self, task: TaskId, input: Input<'_>, changes: &mut Vec<Change>) -> Reply {
        let stepped = self.with_scene(changes, |tasks, scene| tasks.step(task, input, scene));
        if let Some(customer) = &stepped.counted {
            self.state.counts.add(customer, 1);
        }
        stepped.reply
    }

    fn with_scene<T>(
        &mut self,
        changes: &mut Vec<Change>,
        act: impl FnOnce(&mut Tasks, &mut Scene<'_>) -> T,
    ) -> T {
        let state = &mut self.state;
        let mut scene = Scene {
            limits: &state.limits,
            policy: &state.policy,
            now: state.now,
            names: &mut self.names,
            changes,
        };
        act(&mut state.tasks, &mut scene)
    }

    /// Forgets what is older or more than the limits allow.
    fn forget(&mut self) {
        let state = &mut self.state;
        state.tasks.forget(state.now, &state.limits);
        state.claims.forget(state.now, &state.limits);
        state.counts.forget(state.limits.counters_max);
    }
}
