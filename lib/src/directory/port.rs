//! What goes into the directory, and the messages between instances.

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
    /// Something that happened.
    pub enum Event {
        /// The deadline that the machine asked for has come.
        Timer,
        /// What the council's part knows now.
        ReplicaStatus(Box<ReplicaStatus>),
        /// The instance is to leave.
        Draining,
        /// Send a message to an instance.
        Post {
            /// The receiver.
            to: InstanceId,
            /// What to send.
            message: PeerMessage,
        },
        /// A beat came.
        Heartbeat(Box<Heartbeat>),
        /// News of targets came.
        Targets(TargetsMessage),
        /// A worker announced itself here.
        Announced {
            /// Matches the answer.
            ticket: u64,
            /// What it said.
            announcement: Box<Announcement>,
        },
    }

    /// An instance as it presents itself to others.
    pub struct InstanceInfo {
        /// Its identity.
        pub instance: InstanceId,
        /// Its name.
        pub name: InstanceName,
        /// Its data centre.
        pub centre: DataCentre,
        /// Where other instances reach it.
        pub peer: SocketAddr,
        /// Where callers, workers and operators reach it.
        pub front: SocketAddr,
        /// Whether it has a disk and may vote.
        pub disk: bool,
        /// Whether it is leaving.
        pub draining: bool,
    }

    /// What an instance knows of the council's state.
    #[derive(Default)]
    pub struct ReplicaStatus {
        /// Whether it belongs to a council.
        pub member: bool,
        /// How far it applied the log.
        pub applied: Index,
        /// The revision of the plans in force.
        pub plans: Revision,
        /// The revision of the usage list in force.
        pub usage: Revision,
        /// Data centres whose epoch it holds.
        pub held: BTreeMap<DataCentre, Epoch>,
    }

    /// What an instance says of itself at every beat.
    pub struct Heartbeat {
        /// The instance.
        pub info: InstanceInfo,
        /// What it knows.
        pub replica: ReplicaStatus,
        /// The number of its newest change of targets.
        pub targets: u64,
        /// Where it reaches others.
        pub known: Vec<SocketAddr>,
    }

    /// A message between instances.
    pub enum PeerMessage {
        /// A beat.
        Heartbeat(Box<Heartbeat>),
        /// News of targets.
        Targets(TargetsMessage),
        /// A message of the council.
        Consensus {
            /// The sender.
            from: InstanceId,
            /// What is said.
            message: Message,
        },
        /// A command that the leader is to propose for another instance.
        Forward {
            /// The instance that waits for the answer.
            origin: InstanceId,
            /// What it knows the answer by.
            ticket: Ticket,
            /// The command.
            command: Box<Command>,
        },
    }

    /// A target with what decides between two reports of it.
    pub struct TargetRecord {
        /// The boot of its worker.
        pub incarnation: Incarnation,
        /// The target.
        pub target: Target,
    }

    /// A change of one target.
    pub enum TargetChange {
        /// It is there, or something about it changed.
        Put(Box<TargetRecord>),
        /// It is gone.
        Remove {
            /// Where it took requests.
            address: String,
        },
    }

    /// News of the targets that one authority hears.
    pub enum TargetsMessage {
        /// Asks an authority for all its targets.
        Request {
            /// Who asks.
            from: InstanceId,
        },
        /// All targets of an authority.
        All {
            /// The authority.
            from: InstanceId,
            /// The number of the newest change in it.
            version: u64,
            /// The targets.
            items: Vec<TargetRecord>,
        },
        /// The change with this number.
        Changes {
            /// The authority.
            from: InstanceId,
            /// The number.
            version: u64,
            /// What changed.
            changes: Vec<TargetChange>,
        },
    }
}

impl TargetsMessage {
    /// The same news, sent by `sender`.
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
