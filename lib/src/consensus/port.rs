//! What goes into the consensus machine and what comes out of it.

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
    time::Time,
};

/// The limits and times of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// The instance that this machine speaks for.
    pub me: InstanceId,
    /// The time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The election timeout, drawn between this and twice this.
    pub election_timeout: Duration,
    /// How much one append carries, in bytes of payload; one entry may exceed it.
    pub max_batch_bytes: usize,
    /// How many appends may be on their way to one follower.
    pub max_inflight: usize,
    /// The size of a part of a snapshot, in bytes.
    pub chunk_bytes: usize,
    /// How many proposals or reads may wait, each.
    pub max_pending: usize,
    /// How many entries a learner may be behind and still be promoted; as many are kept in
    /// memory behind a snapshot.
    pub catch_up_margin: u64,
    /// How long a voter may be silent before a standby takes its place, or a learner before it
    /// is removed.
    pub replace_after: Duration,
}

data! {
    /// Something that happened.
    pub enum Event {
        /// The deadline that the machine asked for has come.
        Timer,
        /// A message arrived.
        Receive {
            /// The sender.
            from: InstanceId,
            /// The message.
            message: Message,
        },
        /// A command for the log.
        Propose {
            /// Matches the answer.
            ticket: Ticket,
            /// The encoded command.
            command: Bytes,
        },
        /// A read that must see everything committed before it.
        Read {
            /// Matches the answer.
            ticket: Ticket,
        },
        /// Storage synced all writes up to this one.
        Stored {
            /// The number of the last synced write.
            sequence: u64,
        },
        /// The ledger encoded its state; the log before it may go.
        Compacted {
            /// The last entry applied to the state.
            index: Index,
            /// The encoded state.
            state: Bytes,
        },
        /// An instance wants to follow the log.
        AddLearner {
            /// The instance.
            instance: InstanceId,
        },
        /// A learner should vote, once it has caught up.
        Promote {
            /// The learner.
            instance: InstanceId,
        },
        /// A learner should take a voter's place, once it has caught up.
        ReplaceVoter {
            /// The voter that goes.
            lost: InstanceId,
            /// The learner that comes.
            by: InstanceId,
        },
        /// A member should go.
        RemoveMember {
            /// The member.
            instance: InstanceId,
        },
        /// The instances with a disk, which may take a silent voter's place.
        Standbys {
            /// The instances.
            instances: Vec<InstanceId>,
        },
    }

    /// Something to do.
    pub enum Effect {
        /// Send a message; it may be lost, repeated or late.
        Send {
            /// The addressee.
            to: InstanceId,
            /// The message.
            message: Message,
        },
        /// Make a write durable and answer with [`Event::Stored`]; writes are made in order.
        Store(Write),
        /// Apply committed entries, which come in order and once in a process's life.
        Apply(Vec<Entry>),
        /// Replace the ledger's state; later entries follow by [`Effect::Apply`].
        Restore(Snapshot),
        /// A proposal has its place in the log. It is committed only if the entry applied at
        /// that index has the same term; another term there means that it is lost.
        Accepted {
            /// The proposal.
            ticket: Ticket,
            /// Its position.
            index: Index,
            /// Its term.
            term: Term,
        },
        /// A proposal was not taken and has no effect.
        Rejected {
            /// The proposal.
            ticket: Ticket,
            /// Who leads, if it is known; this instance itself if its queue is full.
            leader: Option<InstanceId>,
        },
        /// A read may be answered once the state has reached this index.
        ReadReady {
            /// The read.
            ticket: Ticket,
            /// The index.
            index: Index,
        },
        /// A read can't be shown to be current; it may be asked again.
        ReadFailed {
            /// The read.
            ticket: Ticket,
        },
        /// The role, the term or the leader changed.
        RoleChanged {
            /// The role now.
            role: Role,
            /// The term now.
            term: Term,
            /// The leader now, if it is known.
            leader: Option<InstanceId>,
        },
        /// The chart has no rule for what happened; the event had no effect.
        Unhandled {
            /// The role.
            role: Role,
            /// What happened.
            trigger: Trigger,
        },
    }

    /// What a member shows of itself.
    pub struct Status {
        /// Its role.
        pub role: Role,
        /// Its term.
        pub term: Term,
        /// The leader, if it is known.
        pub leader: Option<InstanceId>,
        /// The last committed entry.
        pub commit: Index,
        /// The last entry.
        pub last: Index,
        /// The last entry in the newest snapshot.
        pub snapshot: Index,
        /// The members in force.
        pub members: Members,
        /// Until when a leader stays one without hearing more; no lease, for it counts from the
        /// arrival of answers.
        pub quorum_until: Option<Time>,
    }
}
