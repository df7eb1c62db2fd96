//! The events and effects of the router.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    command::{Claim, ClaimResult},
    data,
    ids::{
        CustomerName, DataCentre, IdempotencyKey, InstanceId, RequestId, ServiceName, WorkerName,
    },
    policy::Policy,
    time::Time,
};

data! {
    /// An input of the router.
    pub enum Event {
        /// The time returned by `Router::next_deadline` has been reached.
        Timer,
        /// A new policy is in force.
        Policy(Arc<Policy>),
        /// The instances that share the targets' limits, this one included, sorted; at most one
        /// event for each change.
        Instances(Vec<Peer>),
        /// A target was added or changed.
        Target(Box<Target>),
        /// A target was withdrawn.
        TargetGone {
            /// The target's address.
            address: String,
        },
        /// A caller sent a request.
        Request(Box<Request>),
        /// The caller of a request disconnected.
        CallerGone {
            /// The request.
            request: RequestId,
        },
        /// The result of a claim is known.
        ClaimAnswered {
            /// The request.
            request: RequestId,
            /// The result of the claim.
            answer: ClaimAnswer,
        },
        /// The outcome of a request was recorded and counted. Nothing waits for this event if the
        /// request has neither a claim nor exact counts.
        Recorded {
            /// The request.
            request: RequestId,
        },
        /// An attempt ended.
        AttemptEnded {
            /// The attempt.
            attempt: AttemptId,
            /// How it ended.
            end: AttemptEnd,
        },
        /// A part of a response arrived, or the target acknowledged a probe on the connection.
        Progress {
            /// The attempt.
            attempt: AttemptId,
        },
        /// The instance must drain: refuse new requests and finish the others.
        Drain,
    }

    /// An instance with which the targets' limits are shared.
    pub struct Peer {
        /// Its identity.
        pub instance: InstanceId,
        /// Its data centre.
        pub centre: DataCentre,
    }

    /// A target that serves requests.
    pub struct Target {
        /// The address at which it accepts requests; also its identity.
        pub address: String,
        /// The worker it runs on.
        pub worker: WorkerName,
        /// The data centre of the worker.
        pub centre: DataCentre,
        /// The service it serves.
        pub service: ServiceName,
        /// The number of requests it processes concurrently, over all instances.
        pub slots: u32,
        /// The number of connections it accepts, over all instances.
        pub connections: u32,
        /// Whether it is leaving and must receive no new requests.
        pub leaving: bool,
    }

    /// A request from a caller.
    pub struct Request {
        /// Its identifier at this instance.
        pub request: RequestId,
        /// The customer, identified by its credential.
        pub customer: CustomerName,
        /// The service it calls.
        pub service: ServiceName,
        /// The path of the HTTP request to the target.
        pub path: String,
        /// Whether it may be retried after it may have run.
        pub idempotent: bool,
        /// Its idempotency key, chosen by the customer.
        pub key: Option<IdempotencyKey>,
        /// When the caller stops waiting.
        pub deadline: Time,
        /// The body.
        pub body: Bytes,
    }

    /// The identifier of an attempt to run a request.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct AttemptId {
        /// The request.
        pub request: RequestId,
        /// The number of the attempt, starting at 1.
        pub number: u32,
    }

    /// The result of a claim on an idempotency key.
    pub enum ClaimAnswer {
        /// The claim succeeded; the request may be sent.
        Claimed,
        /// The key was already claimed by an earlier copy of this request, whose result is given if
        /// it is known.
        AlreadyClaimed(Option<ClaimResult>),
        /// The key belongs to a different request.
        KeyReused,
        /// The claim couldn't be committed in time. If it is committed later, the router settles it
        /// as not run.
        Unavailable,
    }

    /// How an attempt ended.
    pub enum AttemptEnd {
        /// A complete response arrived.
        Answered(Response),
        /// The target refused it before processing.
        Refused,
        /// Nothing of the request was sent.
        NotSent {
            /// The error.
            reason: String,
        },
        /// At least a part was sent, and no complete response arrived: the connection was reset or
        /// stalled, or the response was truncated.
        Lost {
            /// The error.
            reason: String,
        },
    }

    /// A complete response.
    pub struct Response {
        /// The HTTP status.
        pub status: u16,
        /// The body.
        pub body: Bytes,
    }

    /// The outcome reported to the caller.
    pub enum RequestOutcome {
        /// It ran.
        Ran(Response),
        /// It ran earlier, and its response body isn't stored.
        RanEarlier {
            /// The HTTP status of that response.
            status: u16,
        },
        /// It did not run.
        NotRun {
            /// The reason.
            reason: NotRun,
        },
        /// It may have run.
        Unknown {
            /// The error, for the caller.
            reason: String,
        },
    }

    /// Why a request did not run.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum NotRun {
        /// Its customer is unknown, or the customer's plan doesn't include the service.
        NotAllowed,
        /// No target of the service is known.
        NoTarget,
        /// It can't be served before its deadline.
        Deadline,
        /// Too many requests are waiting, or the customer has too many open long-lived requests.
        Overloaded,
        /// The instance is draining.
        Draining,
        /// The claim or record can't be committed.
        ConsensusUnavailable,
        /// The key belongs to a different request.
        KeyReused,
        /// It is neither idempotent nor has an idempotency key.
        MissingKey,
        /// Another request with this key is in progress.
        InProgress,
        /// Targets refused it or couldn't be reached.
        TargetsUnavailable,
        /// The caller disconnected before the request was sent.
        CallerGone,
    }

    /// An output of the router, to be carried out.
    pub enum Effect {
        /// Claim an idempotency key.
        Claim(Claim),
        /// Record the outcome of a request, and count it if it ran.
        Record {
            /// The request.
            request: RequestId,
            /// The customer.
            customer: CustomerName,
            /// The claimed key; without one the request is only counted.
            key: Option<IdempotencyKey>,
            /// The result to record.
            result: ClaimResult,
        },
        /// Send an attempt to a target.
        Send {
            /// The attempt.
            attempt: AttemptId,
            /// The address of the target.
            target: String,
            /// Whether to open a new connection because idle ones may be stalled.
            fresh: bool,
            /// The customer, passed on for the target's log.
            customer: CustomerName,
            /// The path of the HTTP request to the target.
            path: String,
            /// The body.
            body: Bytes,
            /// When the attempt must be abandoned.
            deadline: Time,
        },
        /// Abandon an attempt and close its connection.
        Abandon {
            /// The attempt.
            attempt: AttemptId,
        },
        /// Close the idle connections to a target.
        CloseIdle {
            /// The address of the target.
            target: String,
        },
        /// Answer the caller of a request.
        Answer {
            /// The request.
            request: RequestId,
            /// The outcome of the request.
            outcome: RequestOutcome,
        },
        /// All requests are answered, and their records are committed or
        /// [`Config::drain_timeout`](super::Config::drain_timeout) has passed. Counts of requests
        /// without a claim may still have to be recorded.
        Drained,
    }
}
