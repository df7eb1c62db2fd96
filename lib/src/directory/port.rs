//! The events of the directory, and the messages between instances.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    command::Command,
    consensus::message::Message,
    data,
    ids::{DataCentre, Epoch, Incarnation, Index, InstanceId, InstanceName, Revision, Ticket},
    router::port::Target,
    worker::Announcement,
};

data! {
    /// An input of the directory.
    pub enum Event {
        /// The time of `next_deadline` has come.
        Timer,
        /// The status of the replicated log changed.
        ReplicaStatus(Box<ReplicaStatus>),
        /// The addresses of the instances to contact changed.
        Seeds(Vec<SocketAddr>),
        /// The members of the consensus group changed.
        Members(Vec<InstanceId>),
        /// The instance starts to drain before it leaves.
        Draining,
        /// Send a message to an instance.
        Post {
            /// The receiver.
            to: InstanceId,
            /// The message.
            message: PeerMessage,
        },
        /// A heartbeat arrived.
        Heartbeat(Box<Heartbeat>),
        /// A message about targets arrived.
        Targets(TargetsMessage),
        /// A worker announced itself to this instance.
        Announced {
            /// Identifies the announcement in the answer.
            ticket: u64,
            /// The announcement.
            announcement: Box<Announcement>,
        },
    }

    /// The description of an instance that is sent to others.
    pub struct InstanceInfo {
        /// Its identity.
        pub instance: InstanceId,
        /// Its name.
        pub name: InstanceName,
        /// Its data centre.
        pub centre: DataCentre,
        /// The address for other instances.
        pub peer: SocketAddr,
        /// The address for callers, workers and operators.
        pub front: SocketAddr,
        /// Whether it has a disk and may become a voter.
        pub disk: bool,
        /// Whether it is draining before it leaves.
        pub draining: bool,
    }

    /// The state of an instance's replica of the log.
    #[derive(Default)]
    pub struct ReplicaStatus {
        /// Whether the instance belongs to a consensus group.
        pub member: bool,
        /// The index of the last applied entry.
        pub applied: Index,
        /// The revision of the plans in force.
        pub plans: Revision,
        /// The revision of the usage list in force.
        pub usage: Revision,
        /// The data centres that the instance leads, with the epoch of each.
        pub held: BTreeMap<DataCentre, Epoch>,
    }

    /// A heartbeat between instances.
    pub struct Heartbeat {
        /// The sender's description.
        pub info: InstanceInfo,
        /// The state of its replica of the log.
        pub replica: ReplicaStatus,
        /// The number of its newest change of targets.
        pub targets: u64,
        /// The addresses of live instances; empty in most heartbeats.
        pub addresses: Vec<SocketAddr>,
    }

    /// A message between instances.
    pub enum PeerMessage {
        /// A heartbeat.
        Heartbeat(Box<Heartbeat>),
        /// A message about targets.
        Targets(TargetsMessage),
        /// A consensus message.
        Consensus {
            /// The sender.
            from: InstanceId,
            /// The message.
            message: Message,
        },
        /// A command that the leader is to propose on behalf of another instance.
        Forward {
            /// The instance that awaits the answer.
            origin: InstanceId,
            /// The ticket by which it recognises the answer.
            ticket: Ticket,
            /// The command.
            command: Box<Command>,
        },
    }

    /// A target with the incarnation that decides between conflicting reports.
    pub struct TargetRecord {
        /// The incarnation of its worker, which increases with each boot.
        pub incarnation: Incarnation,
        /// The target.
        pub target: Target,
    }

    /// A change of one target.
    pub enum TargetChange {
        /// The target was added or changed.
        Put(Box<TargetRecord>),
        /// The target was removed.
        Remove {
            /// The address at which it took requests.
            address: String,
        },
    }

    /// A message about the targets of one authority.
    pub enum TargetsMessage {
        /// Asks an authority for all its targets.
        Request {
            /// The instance that asks.
            from: InstanceId,
        },
        /// All targets of an authority.
        All {
            /// The authority.
            from: InstanceId,
            /// The number of the newest change that is included.
            version: u64,
            /// The targets.
            items: Vec<TargetRecord>,
        },
        /// One numbered change, which may affect several targets.
        Changes {
            /// The authority.
            from: InstanceId,
            /// The number of the change.
            version: u64,
            /// The changed targets.
            changes: Vec<TargetChange>,
        },
    }
}

impl TargetsMessage {
    /// The same message with `sender` as its sender.
    pub fn with_sender(self, sender: InstanceId) -> Self {
        match self {
            Self::Request { .. } => Self::Request { from: sender },
            Self::All { version, items, .. } => Self::All { from: sender, version, items },
            Self::Changes { version, changes, .. } => {
                Self::Changes { from: sender, version, changes }
            }
        }
    }
}
