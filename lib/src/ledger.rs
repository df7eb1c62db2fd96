//! The replicated state: lists, tasks, claims, counts and epochs.
//!
//! The ledger is the state machine of the replicated log. Applying an entry is deterministic and
//! idempotent: all instances that applied the same entries have the same state. The only clock
//! is the time recorded in the entries.

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
        intern::Interner,
        lifecycle::{Context, Input},
        lists::Lists,
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
mod intern;
pub mod lifecycle;
mod limits;
mod lists;
mod quota;
mod replicas;
mod tasks;

pub use self::{
    claims::ClaimView,
    limits::{Limits, PAYLOAD_UNIT_BYTES},
    lists::AcceptedList,
    tasks::TaskView,
};
pub use crate::codec::DecodeError;

/// The format version of an encoded ledger.
const FORMAT_VERSION: u8 = 1;

/// The buffer capacity for each encoded task; most tasks fit.
const ENCODED_TASK_BYTES: usize = 256;

/// The state machine of the replicated log.
#[derive(Clone, Debug)]
pub struct Ledger {
    state: State,
    interner: Interner,
}

/// The part of the ledger that a snapshot contains.
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
    /// Creates an empty ledger.
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
        Self { state, interner: Interner::default() }
    }

    /// Decodes a ledger that [`Self::encode`] encoded.
    ///
    /// # Errors
    ///
    /// The bytes have another format, or are corrupt or truncated.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (format, body) = match bytes.split_first() {
            Some((format, body)) => (*format, body),
            None => (0, bytes),
        };
        if format != FORMAT_VERSION {
            return FormatSnafu { found: format, expected: FORMAT_VERSION }.fail();
        }
        let mut state: State = postcard::from_bytes(body).context(MalformedSnafu)?;
        let mut interner = Interner::default();
        state.tasks.restore(&mut interner);
        Ok(Self { state, interner })
    }

    /// Encodes the state. The encoding is the same for all ledgers that applied the same entries.
    pub fn encode(&self) -> Bytes {
        let tasks = self.state.tasks.open.len() + self.state.tasks.ended.len();
        let mut bytes = Vec::with_capacity(ENCODED_TASK_BYTES * tasks);
        bytes.push(FORMAT_VERSION);
        codec::append(bytes, &self.state).into()
    }

    /// Applies the entry at `index`: returns the reply to its command and appends the changes to
    /// `changes`.
    ///
    /// An entry that was applied before has no effect.
    pub fn apply(&mut self, index: Index, envelope: &Envelope, changes: &mut Vec<Change>) -> Reply {
        if index <= self.state.applied {
            return Reply::Done;
        }
        self.state.applied = index;
        self.state.now = self.state.now.max(envelope.at);
        let reply = self.execute(&envelope.command, changes);
        self.prune();
        reply
    }

    /// Records that the entry at `index`, which has no command, was applied.
    pub fn skip(&mut self, index: Index) {
        self.state.applied = self.state.applied.max(index);
    }

    /// The index of the last applied entry.
    pub fn applied(&self) -> Index {
        self.state.applied
    }

    /// The current policy; empty until a plans list has been accepted.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.state.policy
    }

    /// Returns a task that is open, or that has ended and is still retained.
    pub fn task(&self, task: TaskId) -> Option<TaskView<'_>> {
        self.state.tasks.get(task)
    }

    /// All tasks that haven't ended, ordered by number.
    pub fn open_tasks(&self) -> impl Iterator<Item = TaskView<'_>> {
        self.state.tasks.open()
    }

    /// The number of tasks that haven't ended.
    pub fn open_task_count(&self) -> usize {
        self.state.tasks.open.len()
    }

    /// The data centre that is responsible for a task that may run anywhere.
    pub fn home_centre(&self, task: TaskId) -> Option<&DataCentre> {
        self.state.centres.home_centre(task)
    }

    /// The newest epoch of a data centre and its holder, unless it was released.
    pub fn epoch_holder(&self, centre: &DataCentre) -> Option<(Epoch, InstanceId)> {
        self.state.centres.holder(centre)
    }

    /// The newest epoch of a data centre, held or released; 0 if there was none.
    pub fn newest_epoch(&self, centre: &DataCentre) -> Epoch {
        self.state.centres.newest(centre)
    }

    /// All data centres that have a holder, with the epoch and the holder.
    pub fn epoch_holders(&self) -> impl Iterator<Item = (&DataCentre, Epoch, InstanceId)> {
        self.state.centres.held()
    }

    /// The number of completed requests and tasks of each customer.
    pub fn counts(&self) -> impl Iterator<Item = (&CustomerName, u64)> {
        self.state.counts.iter()
    }

    /// The claim on a key, unless the key is free.
    pub fn claim(&self, customer: &CustomerName, key: &IdempotencyKey) -> Option<ClaimView<'_>> {
        self.state.claims.get(customer, key)
    }

    /// The current list of this kind.
    pub fn accepted_list(&self, list: ListKind) -> Option<&AcceptedList> {
        self.state.lists.get(list)
    }

    fn execute(&mut self, command: &Command, changes: &mut Vec<Change>) -> Reply {
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
                self.step_as_holder(centre, *epoch, attempt.task, Input::Start(&placement), changes)
            }
            Command::Yield { centre, epoch, attempt, checkpoint, cause } => {
                let checkpoint = checkpoint.as_ref();
                let input = Input::Yield { attempt: *attempt, centre, checkpoint, cause };
                self.step_as_holder(centre, *epoch, attempt.task, input, changes)
            }
            Command::End { centre, epoch, attempt, outcome } => {
                let input = Input::End { attempt: *attempt, centre, outcome };
                self.step_as_holder(centre, *epoch, attempt.task, input, changes)
            }
            Command::Claim(claim) => self.claim_key(claim),
            Command::Settle { customer, key, owner, request, result } => {
                let state = &mut self.state;
                let claimant = (*owner, *request);
                let (reply, counts) =
                    state.claims.settle(customer, key, claimant, result, &state.limits);
                if counts {
                    state.counts.add(customer, 1);
                }
                reply
            }
            Command::Count { instance, sequence, counts } => {
                self.state.counts.add_batch(*instance, *sequence, counts, self.state.now);
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
        let (reply, policy) = state.lists.edit(edit, state.limits.max_edits);
        if let Some(policy) = policy {
            self.state.policy = Arc::new(policy);
            changes.push(Change::Policy(self.state.policy.clone()));
            self.with_context(changes, |tasks, context| tasks.reconcile(context));
        }
        reply
    }

    fn submit(&mut self, submission: &Submission, changes: &mut Vec<Change>) -> Reply {
        if let Some(first) = self.state.tasks.earlier_reply(submission) {
            return first;
        }
        match self.state.policy.plan_of(&submission.customer) {
            Some(_) if !self.state.tasks.has_capacity(submission, self.state.limits.max_open) => {
                Reply::Refused(Refusal::TooManyTasks)
            }
            Some(_) => self.state.tasks.submit(submission, &mut self.interner, changes),
            None => Reply::Refused(Refusal::NoSuchCustomer),
        }
    }

    fn cancel(
        &mut self,
        customer: &CustomerName,
        task: TaskId,
        changes: &mut Vec<Change>,
    ) -> Reply {
        // Customers can't cancel replicas: operators remove them from the plans list.
        let owned = self
            .task(task)
            .is_some_and(|view| view.customer() == customer && view.spec().service.is_none());
        match owned {
            true => self.step(task, Input::Cancel, changes),
            false => Reply::Refused(Refusal::NoSuchTask),
        }
    }

    fn claim_key(&mut self, claim: &Claim) -> Reply {
        let resent = self.claim(&claim.customer, &claim.key).is_some();
        match resent || self.state.policy.customers.contains_key(&claim.customer) {
            true => self.state.claims.claim(claim, self.state.now),
            false => Reply::Refused(Refusal::NoSuchCustomer),
        }
    }

    /// Applies a report on a task from the holder of a data centre's epoch.
    fn step_as_holder(
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
        let result = self.with_context(changes, |tasks, context| tasks.step(task, input, context));
        if let Some(customer) = &result.counted {
            self.state.counts.add(customer, 1);
        }
        result.reply
    }

    fn with_context<T>(
        &mut self,
        changes: &mut Vec<Change>,
        act: impl FnOnce(&mut Tasks, &mut Context<'_>) -> T,
    ) -> T {
        let state = &mut self.state;
        let mut context = Context {
            limits: &state.limits,
            policy: &state.policy,
            now: state.now,
            interner: &mut self.interner,
            changes,
        };
        act(&mut state.tasks, &mut context)
    }

    /// Removes records that exceed the limits on age or number.
    fn prune(&mut self) {
        let state = &mut self.state;
        state.tasks.prune(state.now, &state.limits);
        state.claims.prune(state.now, &state.limits);
        state.counts.prune(state.limits.max_counters);
    }
}
