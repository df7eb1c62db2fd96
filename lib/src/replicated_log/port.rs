//! What goes into the council's part.

use std::time::Duration;

use crate::{
    command::Command,
    consensus::message::Message,
    data,
    directory::port::InstanceInfo,
    ids::{CustomerName, InstanceId, RequestId, TaskAttempt, Ticket},
    instance::port::Query,
};

data! {
    /// Something that happened.
    pub enum Event {
        /// The deadline that the machine asked for has come.
        Timer,
        /// Another member said something.
        Consensus {
            /// The sender.
            from: InstanceId,
            /// What it said.
            message: Message,
        },
        /// An instance asks this one, as the leader, to propose its command.
        Forwarded {
            /// The instance that waits for the answer.
            origin: InstanceId,
            /// What it knows the answer by.
            ticket: Ticket,
            /// The command.
            command: Box<Command>,
        },
        /// Storage has synced all writes up to this number.
        Stored {
            /// The number.
            sequence: u64,
        },
        /// The instances that are alive.
        Instances(Vec<InstanceInfo>),
        /// Every instance to call first answered, and none belongs to a council.
        NoGroupFound,
        /// The instance is to leave.
        Draining,
        /// Have a command agreed on.
        Propose {
            /// Who waits for the answer.
            requester: Requester,
            /// The command.
            command: Box<Command>,
        },
        /// Count a completed request that carries no key.
        Count {
            /// The request.
            request: RequestId,
            /// Whose it was.
            customer: CustomerName,
        },
        /// Answer a question from the ledger.
        Query {
            /// Matches the answer.
            ticket: u64,
            /// The question.
            query: Query,
        },
    }

    /// Who waits for a command's answer.
    #[derive(PartialOrd, Ord)]
    pub enum Requester {
        /// Somebody at the front, for so long.
        Front {
            /// Matches the answer.
            ticket: u64,
            /// How long the caller waits.
            wait: Duration,
        },
        /// The router, for a claim.
        Claim {
            /// The request.
            request: RequestId,
        },
        /// The router, for what became of a request.
        Settle {
            /// The request.
            request: RequestId,
        },
        /// The scheduler, for the record of a try.
        Start {
            /// The try.
            attempt: TaskAttempt,
        },
        /// The scheduler, for the record that a try stopped.
        Yield {
            /// The try.
            attempt: TaskAttempt,
        },
        /// The scheduler, for the record of a task's end.
        End {
            /// The last try.
            attempt: TaskAttempt,
        },
        /// The council's part itself, for a batch of counts.
        Counts,
        /// The council's part itself, for the right to place.
        Leadership,
    }
}
