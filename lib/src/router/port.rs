//! What goes into the router and what comes out of it.

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
    /// Something that happened.
    pub enum Event {
        /// The deadline that the machine asked for has come.
        Timer,
        /// A new policy is in force.
        Policy(Arc<Policy>),
        /// The instances that share the targets' limits, this one included, sorted; at most one
        /// event for each change.
        Instances(Vec<Peer>),
        /// A target is there, or something about it changed.
        Target(Box<Target>),
        /// A target is gone.
        TargetGone {
            /// Where it took requests.
            address: String,
        },
        /// A caller sent a request.
        Request(Box<Request>),
        /// The caller of a request went away.
        CallerGone {
            /// The request.
            request: RequestId,
        },
        /// The council answered a claim.
        ClaimAnswered {
            /// The request.
            request: RequestId,
            /// What it said.
            answer: ClaimAnswer,
        },
        /// What became of a request was recorded and counted. Counts without a key and without
        /// exact counts are waited for by nobody.
        Recorded {
            /// The request.
            request: RequestId,
        },
        /// A try at a request came to an end.
        AttemptEnded {
            /// The try.
            attempt: AttemptId,
            /// How.
            end: AttemptEnd,
        },
        /// Bytes of an answer came, or the target acknowledged a probe on the connection.
        Progress {
            /// The try.
            attempt: AttemptId,
        },
        /// The instance is to leave: refuse new requests, finish the rest.
        Drain,
    }

    /// An instance of the system, as far as limits are shared with it.
    pub struct Peer {
        /// Its identity.
        pub instance: InstanceId,
        /// Its data centre.
        pub centre: DataCentre,
    }

    /// A target that serves requests.
    pub struct Target {
        /// Where it takes requests; its identity.
        pub address: String,
        /// The worker it runs on.
        pub worker: WorkerName,
        /// The data centre of the worker.
        pub centre: DataCentre,
        /// The service it serves.
        pub service: ServiceName,
        /// Requests it works on at a time, over all instances.
        pub slots: u32,
        /// Connections it holds open, over all instances.
        pub connections: u32,
        /// Whether it is leaving and must get no new requests.
        pub leaving: bool,
    }

    /// A request by a caller.
    pub struct Request {
        /// Its number at this instance.
        pub request: RequestId,
        /// The customer, known by its credential.
        pub customer: CustomerName,
        /// The service it calls.
        pub service: ServiceName,
        /// The path at the target.
        pub path: String,
        /// Whether it may be sent again after it may have run.
        pub idempotent: bool,
        /// The customer's key for it.
        pub key: Option<IdempotencyKey>,
        /// When the caller stops waiting.
        pub deadline: Time,
        /// The body.
        pub body: Bytes,
    }

    /// One try at a request.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct AttemptId {
        /// The request.
        pub request: RequestId,
        /// The number of the try, from 1.
        pub number: u32,
    }

    /// The council's answer to a claim.
    pub enum ClaimAnswer {
        /// The request may leave.
        Claimed,
        /// The key was claimed before; what became of that request, if it is known.
        AlreadyClaimed(Option<ClaimResult>),
        /// The key belongs to a different request.
        KeyReused,
        /// The council can't be reached or doesn't answer; nothing is claimed by this instance
        /// that it won't settle as not run.
        Unavailable,
    }

    /// How a try ended.
    pub enum AttemptEnd {
        /// A whole answer came.
        Answered(Response),
        /// The target said, before it started, that it won't run it.
        Refused,
        /// No byte of the request left.
        NotSent {
            /// Why.
            reason: String,
        },
        /// Bytes left, and no whole answer came: a reset, a truncated body, silence.
        Lost {
            /// What happened.
            reason: String,
        },
    }

    /// A whole answer.
    pub struct Response {
        /// Its status.
        pub status: u16,
        /// Its body.
        pub body: Bytes,
    }

    /// What a caller is told.
    pub enum RequestOutcome {
        /// It ran.
        Ran(Response),
        /// It ran, earlier, and the answer is no longer kept.
        RanEarlier {
            /// The status of that answer.
            status: u16,
        },
        /// It did not run.
        NotRun {
            /// Why, for the caller.
            reason: NotRun,
        },
        /// It may have run.
        Unknown {
            /// What happened.
            reason: String,
        },
    }

    /// Why a request did not run.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum NotRun {
        /// Its plan doesn't include the service.
        NotAllowed,
        /// No target of the service is known.
        NoTarget,
        /// It can't be served before its deadline.
        Deadline,
        /// Too many requests wait.
        Overloaded,
        /// The instance is leaving.
        Draining,
        /// The council can't record the claim.
        ConsensusUnavailable,
        /// The key belongs to a different request.
        KeyReused,
        /// It isn't idempotent and carries no key.
        MissingKey,
        /// A request with this key is under way.
        InProgress,
        /// Targets refused it or couldn't be reached.
        TargetsUnavailable,
        /// The caller went away before it left.
        CallerGone,
    }

    /// Something to do.
    pub enum Effect {
        /// Claim a key.
        Claim(Claim),
        /// Record what became of a request, and count it if it ran.
        Record {
            /// The request.
            request: RequestId,
            /// The customer.
            customer: CustomerName,
            /// The key; without one it is only counted.
            key: Option<IdempotencyKey>,
            /// What became of it.
            result: ClaimResult,
        },
        /// Send a try.
        Send {
            /// The try.
            attempt: AttemptId,
            /// The target.
            target: String,
            /// Whether to open a new connection, since the idle ones are doubted.
            fresh: bool,
            /// The customer, for the target's own log.
            customer: CustomerName,
            /// The path at the target.
            path: String,
            /// The body.
            body: Bytes,
            /// When the try is given up.
            deadline: Time,
        },
        /// Give a try up and close its connection.
        Abandon {
            /// The try.
            attempt: AttemptId,
        },
        /// Close the idle connections to a target.
        CloseIdle {
            /// The target.
            target: String,
        },
        /// Tell the caller what became of its request.
        Answer {
            /// The request.
            request: RequestId,
            /// What became of it.
            outcome: RequestOutcome,
        },
        /// Every request in flight has ended since [`Event::Drain`]. Counts without a key that
        /// were asked for by then may still have to be recorded.
        Drained,
    }
}
