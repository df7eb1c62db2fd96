//! Messages between the instances of a deployment.

use core::net::SocketAddr;

use crate::{
    consensus::message::Message,
    data,
    ids::InstanceId,
    jobs::{
        call::{Call, Reply},
        record::Node,
    },
};

data! {
    /// A message on a connection between two instances.
    pub enum LinkMessage {
        /// A controller introduces itself.
        Hello(Node),
        /// A message of the agreement.
        Consensus {
            /// The sender.
            from: InstanceId,
            /// The message.
            message: Message,
        },
        /// A gateway passes a call on.
        Forward {
            /// Matches the answer.
            number: u64,
            /// The call.
            call: Call,
        },
        /// The answer to a call.
        Answer {
            /// The call.
            number: u64,
            /// What the caller is told.
            reply: Reply,
        },
        /// The sender of a call should ask another controller.
        Redirect {
            /// The call; it had no effect here.
            number: u64,
            /// The controller that leads, if it is known.
            leader: Option<SocketAddr>,
        },
        /// A gateway asks whether this controller leads.
        Probe,
        /// The answer to a probe.
        Status(ControllerStatus),
    }

    /// What a gateway learns from a controller.
    pub struct ControllerStatus {
        /// Whether the controller leads and can show it.
        pub leads: bool,
        /// Whether a configuration is in force there.
        pub configured: bool,
        /// The controller that leads, if it is known.
        pub leader: Option<SocketAddr>,
        /// The controllers that are known.
        pub controllers: Vec<SocketAddr>,
    }
}
