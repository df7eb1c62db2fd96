//! The events and effects of the consensus state machine, and its settings.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    consensus::{
        chart::{Role, Trigger},
        log::{Entry, Members, Snapshot, Write},
        message::Message,
    },
    data,
    ids::{Index, InstanceId, Term, Ticket},
    symbols,
    time::Time,
};

/// The settings of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// This member's instance.
    pub me: InstanceId,
    /// The time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The smallest election timeout; each one is random between this and twice this.
    pub election_timeout: Duration,
    /// The maximum size of the entries in one append, in bytes; a single entry may exceed it.
    pub max_batch_bytes: usize,
    /// The maximum number of unacknowledged appends to one follower.
    pub max_inflight: usize,
    /// The size of a snapshot chunk, in bytes.
    pub chunk_bytes: usize,
    /// The maximum number of pending proposals, and of pending reads.
    pub max_pending: usize,
    /// How many entries a learner may lag behind and still be promoted; as many entries before a
    /// snapshot are kept in memory.
    pub catch_up_margin: u64,
    /// How long a voter may be silent before a standby replaces it, and a learner before it is
    /// removed.
    pub replace_after: Duration,
}

symbols! {
    /// Why a leader gave up leadership.
    pub enum StepDownCause {
        /// A message with a newer term arrived.
        NewerTerm = "a newer term",
        /// Storage synced nothing for an election timeout although writes were pending.
        DiskStalled = "its disk stalls",
        /// No quorum answered within the election timeout.
        QuorumSilent = "no quorum answers",
        /// It isn't a voter any more.
        Removed = "it was removed",
    }
}

data! {
    /// An input of the state machine.
    pub enum Event {
        /// The time of `next_deadline` has come.
        Timer,
        /// A message arrived.
        Receive {
            /// The sender.
            from: InstanceId,
            /// The message.
            message: Message,
        },
        /// A command to append to the log.
        Propose {
            /// Identifies the proposal in the answer.
            ticket: Ticket,
            /// The encoded command.
            command: Bytes,
        },
        /// A linearizable read: it must see everything committed before it.
        Read {
            /// Identifies the read in the answer.
            ticket: Ticket,
        },
        /// Storage has synced all writes up to and including this one.
        Stored {
            /// The sequence number of the last synced write.
            sequence: u64,
        },
        /// The ledger encoded its state; the log up to its index may be truncated.
        Compacted {
            /// The index of the last entry applied to the state.
            index: Index,
            /// The encoded state.
            state: Bytes,
        },
        /// Add an instance as a learner.
        AddLearner {
            /// The instance.
            instance: InstanceId,
        },
        /// Make a learner a voter once it has caught up.
        Promote {
            /// The learner.
            instance: InstanceId,
        },
        /// Replace a voter by a learner once the learner has caught up.
        ReplaceVoter {
            /// The voter to remove.
            lost: InstanceId,
            /// The learner to promote.
            by: InstanceId,
        },
        /// Make a voter a learner.
        Demote {
            /// The voter.
            instance: InstanceId,
        },
        /// Remove a member.
        RemoveMember {
            /// The member.
            instance: InstanceId,
        },
        /// The instances with a disk, which may replace a silent voter.
        Standbys {
            /// The instances.
            instances: Vec<InstanceId>,
        },
    }

    /// An output of the state machine.
    pub enum Effect {
        /// Send a message; it may be lost, duplicated or delayed.
        Send {
            /// The receiver.
            to: InstanceId,
            /// The message.
            message: Message,
        },
        /// Make a write durable and report it by [`Event::Stored`]; writes are applied in order.
        Store(Write),
        /// Apply committed entries; each is emitted once per process, in order.
        Apply(Vec<Entry>),
        /// Replace the ledger's state; the entries after it follow by [`Effect::Apply`].
        Restore(Snapshot),
        /// A proposal was appended to the log. It is committed only if the entry applied at that
        /// index has the same term; with another term the proposal is lost.
        Accepted {
            /// The proposal's ticket.
            ticket: Ticket,
            /// The index of its entry.
            index: Index,
            /// The term of its entry.
            term: Term,
        },
        /// A proposal was rejected and has no effect.
        Rejected {
            /// The proposal's ticket.
            ticket: Ticket,
            /// The leader, if known; this instance itself if its queue is full.
            leader: Option<InstanceId>,
        },
        /// A read may be answered once this index is applied.
        ReadReady {
            /// The read's ticket.
            ticket: Ticket,
            /// The index to be applied first.
            index: Index,
        },
        /// A read couldn't be confirmed; it may be retried.
        ReadFailed {
            /// The read's ticket.
            ticket: Ticket,
        },
        /// The role, the term or the leader changed.
        RoleChanged {
            /// The current role.
            role: Role,
            /// The current term.
            term: Term,
            /// The current leader, if known.
            leader: Option<InstanceId>,
        },
        /// This member led and gave up leadership.
        SteppedDown(StepDown),
        /// The chart has no transition for a trigger; the event had no effect.
        Unhandled {
            /// The current role.
            role: Role,
            /// The trigger.
            trigger: Trigger,
        },
    }

    /// Why a leader gave up leadership, and how long it had waited for others by then.
    pub struct StepDown {
        /// The cause.
        pub cause: StepDownCause,
        /// The term in which it led.
        pub term: Term,
        /// The time since a quorum was last heard.
        pub quorum_silence: Duration,
        /// The time since storage last synced a write, or zero if no write was pending.
        pub disk_wait: Duration,
        /// How late the event was handled, if it was due at a time.
        pub delay: Duration,
    }

    /// The status of a member.
    pub struct Status {
        /// Its role.
        pub role: Role,
        /// Its term.
        pub term: Term,
        /// The leader, if known.
        pub leader: Option<InstanceId>,
        /// The index of the last committed entry.
        pub commit: Index,
        /// The index of the last entry.
        pub last: Index,
        /// The index of the last entry that the newest snapshot covers.
        pub snapshot: Index,
        /// The effective members.
        pub members: Members,
        /// The learners that a leader can promote at once.
        pub caught_up: Vec<InstanceId>,
        /// When a leader steps down unless it hears from a quorum again. It isn't a lease, because
        /// it is measured from the arrival of answers and not from the sending of a round.
        pub quorum_until: Option<Time>,
    }
}
