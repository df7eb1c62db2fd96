//! Messages between instances.

use core::net::SocketAddr;

use crate::{
    consensus::message::Message,
    data,
    ids::InstanceId,
    jobs::{
        call::{Call, Reply},
        hello::Hello,
    },
};

data! {
    /// A message on a connection between two instances.
    pub enum LinkMessage {
        /// A controller announces itself.
        Hello(Hello),
        /// A consensus message.
        Consensus {
            /// The sender.
            from: InstanceId,
            /// The message.
            message: Message,
        },
        /// A gateway forwards a call.
        Forward {
            /// Identifies the call in the answer.
            number: u64,
            /// The call.
            call: Call,
        },
        /// The answer to a forwarded call.
        Answer {
            /// The number of the call.
            number: u64,
            /// The reply to the caller.
            reply: Reply,
        },
        /// This controller doesn't lead; the call should be sent to another one.
        Redirect {
            /// The number of the call. It had no effect here.
            number: u64,
            /// The address of the leader, if known.
            leader: Option<SocketAddr>,
        },
        /// A gateway asks for a controller's status.
        Probe,
        /// The answer to a probe.
        Status(ControllerStatus),
    }

    /// The status of a controller.
    pub struct ControllerStatus {
        /// Whether the controller leads and holds a valid leader lease.
        pub leads: bool,
        /// Whether it has a configuration.
        pub configured: bool,
        /// The address of the leader, if known.
        pub leader: Option<SocketAddr>,
        /// The addresses of all known controllers.
        pub controllers: Vec<SocketAddr>,
    }
}
