//! The events of the replicated log.

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
    /// An input of the replicated log.
    pub enum Event {
        /// The time of `next_deadline` has come.
        Timer,
        /// A consensus message arrived.
        Consensus {
            /// The sender.
            from: InstanceId,
            /// The message.
            message: Message,
        },
        /// Another instance forwarded a command to this one as the leader.
        Forwarded {
            /// The instance that awaits the answer.
            origin: InstanceId,
            /// The ticket by which it recognises the answer.
            ticket: Ticket,
            /// The command.
            command: Box<Command>,
        },
        /// Storage has synced all writes up to and including this one.
        Stored {
            /// The sequence number of the last synced write.
            sequence: u64,
        },
        /// The set of live instances changed.
        Instances(Vec<InstanceInfo>),
        /// All seed instances are alive and none of them belongs to a consensus group.
        NoGroupFound,
        /// The instance starts to drain before it leaves.
        Draining,
        /// Commit a command.
        Propose {
            /// The component that awaits the reply.
            requester: Requester,
            /// The command.
            command: Box<Command>,
        },
        /// Count a request that ran without a claim.
        Count {
            /// The request.
            request: RequestId,
            /// The customer of the request.
            customer: CustomerName,
        },
        /// Answer a query from the ledger.
        Query {
            /// Identifies the query in the answer.
            ticket: u64,
            /// The query.
            query: Query,
        },
    }

    /// The component that awaits the reply to a command.
    #[derive(PartialOrd, Ord)]
    pub enum Requester {
        /// The front end, for a caller.
        Front {
            /// Identifies the command in the answer.
            ticket: u64,
            /// How long the caller waits for the reply.
            wait: Duration,
        },
        /// The router, for a claim.
        Claim {
            /// The request.
            request: RequestId,
        },
        /// The router, for the record of a request's result.
        Settle {
            /// The request.
            request: RequestId,
        },
        /// The scheduler, for the record that an attempt starts.
        Start {
            /// The attempt.
            attempt: TaskAttempt,
        },
        /// The scheduler, for the record that an attempt stopped.
        Yield {
            /// The attempt.
            attempt: TaskAttempt,
        },
        /// The scheduler, for the record of a task's end.
        End {
            /// The last attempt.
            attempt: TaskAttempt,
        },
        /// The replicated log itself, for a batch of counts.
        Counts,
        /// The replicated log itself, for leadership of the data centre.
        Leadership,
    }
}
