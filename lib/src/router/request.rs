//! An admitted request and its state chart.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    router::port::{NotRun, Request, RequestOutcome},
    symbols,
    time::Time,
};

symbols! {
    /// The state of a request.
    pub enum RequestState {
        /// It has been admitted.
        Admitted = "admitted",
        /// The claim on its key is pending.
        Claiming = "claiming",
        /// It was answered "not run" while its claim was pending.
        Releasing = "releasing",
        /// It is queued for a slot.
        Waiting = "waiting",
        /// An attempt, and possibly a hedge, is in flight.
        Sending = "sending",
        /// It waits for the backoff before the next attempt.
        BackingOff = "backing_off",
        /// It ran; the answer is withheld until the record is committed.
        Recording = "recording",
        /// It was answered; its record isn't committed yet.
        Settling = "settling",
        /// It is complete.
        Done = "done",
    }

    /// An event that concerns a request.
    pub enum RequestEvent {
        /// It was admitted.
        Start = "start",
        /// The claim on its key succeeded.
        Claimed = "claimed",
        /// Its key was already claimed, by an earlier copy of it or by a different request.
        ClaimFound = "claim_found",
        /// The claim couldn't be committed in time.
        ClaimFailed = "claim_failed",
        /// A target with a free slot was selected.
        Dispatch = "dispatch",
        /// A complete response arrived.
        Answered = "answered",
        /// An attempt ended before the target started to process it.
        Refused = "refused",
        /// An attempt was sent, at least in part, and ended without a complete response.
        Lost = "lost",
        /// Its backoff is over, or it is due for a hedge.
        Timer = "timer",
        /// Its deadline passed.
        Deadline = "deadline",
        /// Its caller disconnected.
        CallerGone = "caller_gone",
        /// It can't be served before its deadline.
        Unservable = "unservable",
        /// Its record was committed.
        Recorded = "recorded",
        /// The wait for the result of its claim timed out.
        Expired = "expired",
    }

    /// A condition of a transition.
    pub enum RequestGuard {
        /// It needs a claim.
        NeedsClaim = "needs_claim",
        /// It holds a claim.
        ClaimHeld = "claim_held",
        /// The answer must wait until the record is committed.
        ExactCounts = "exact_counts",
        /// Another attempt is in flight.
        AttemptOpen = "attempt_open",
        /// It may be retried after it may have run.
        Idempotent = "idempotent",
        /// The retry budget and the queue allow another attempt.
        MayRetry = "may_retry",
        /// A second attempt may be sent while the first is in flight.
        MayHedge = "may_hedge",
    }

    /// An action of a transition.
    pub enum RequestAction {
        /// Requests a claim on the key.
        Claim = "claim",
        /// Marks the key as claimed.
        HoldClaim = "hold_claim",
        /// Adds it to the queue of its service.
        Enqueue = "enqueue",
        /// Removes it from the queue.
        Dequeue = "dequeue",
        /// Sends an attempt to the selected target.
        Send = "send",
        /// Sends a second attempt to another target.
        Hedge = "hedge",
        /// Abandons the attempts in flight.
        Abandon = "abandon",
        /// Marks it as possibly run.
        MarkMaybeRun = "mark_maybe_run",
        /// Starts the backoff before the next attempt.
        BackOff = "back_off",
        /// Stores the outcome carried by the event.
        KeepOutcome = "keep_outcome",
        /// Sets the outcome to "unknown" if it may have run, and to "not run" otherwise.
        GiveUp = "give_up",
        /// Records its outcome in the replicated log.
        Record = "record",
        /// Answers the caller with the outcome.
        Answer = "answer",
        /// Answers the caller that the outcome isn't recorded.
        AnswerUnrecorded = "answer_unrecorded",
    }
}

/// The state chart of a request.
pub type RequestChart = Chart<RequestState, RequestEvent, RequestGuard, RequestAction>;

/// The names allowed in the chart file.
pub const REQUEST_VOCABULARY: Vocabulary<
    'static,
    RequestState,
    RequestEvent,
    RequestGuard,
    RequestAction,
> = Vocabulary {
    states: (RequestState::ALL, RequestState::NAMES),
    events: (RequestEvent::ALL, RequestEvent::NAMES),
    guards: (RequestGuard::ALL, RequestGuard::NAMES),
    actions: (RequestAction::ALL, RequestAction::NAMES),
};

/// The contents of the chart file.
pub const REQUEST_CHART: &str = include_str!("../../../charts/request.jsonc");

pub(super) static CHART: LazyLock<RequestChart> = LazyLock::new(|| {
    Chart::parse("request.jsonc", REQUEST_CHART, &REQUEST_VOCABULARY)
        .expect("the built-in chart is valid")
});

/// The limit that a request counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Bound {
    /// The limit on waiting requests.
    Waiting,
    /// The limit on requests whose claim or record isn't committed.
    Unsettled,
    /// No limit: it holds a slot, or it is complete.
    Unbounded,
}

impl RequestState {
    pub(super) fn bound(self) -> Bound {
        match self {
            Self::Claiming | Self::Waiting | Self::BackingOff => Bound::Waiting,
            Self::Releasing | Self::Recording | Self::Settling => Bound::Unsettled,
            Self::Admitted | Self::Sending | Self::Done => Bound::Unbounded,
        }
    }

    /// Whether the caller hasn't been answered yet.
    pub(super) fn is_open(self) -> bool {
        match self {
            Self::Admitted
            | Self::Claiming
            | Self::Waiting
            | Self::Sending
            | Self::BackingOff
            | Self::Recording => true,
            Self::Releasing | Self::Settling | Self::Done => false,
        }
    }
}

/// The numbers of a request's attempts in flight: at most one attempt and its hedge.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenAttempts {
    numbers: [Option<u32>; 2],
}

impl OpenAttempts {
    pub(super) fn len(self) -> usize {
        self.iter().count()
    }

    pub(super) fn iter(self) -> impl Iterator<Item = u32> {
        self.numbers.into_iter().flatten()
    }

    pub(super) fn add(&mut self, number: u32) {
        let [first, second] = &mut self.numbers;
        match first {
            None => *first = Some(number),
            Some(_) => *second = Some(number),
        }
    }

    pub(super) fn remove(&mut self, number: u32) {
        for held in &mut self.numbers {
            if *held == Some(number) {
                *held = None;
            }
        }
    }
}

/// What admission control determined about a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Admitted {
    /// The index of its customer's account.
    pub(super) account: usize,
    /// The index of its service.
    pub(super) service: usize,
    pub(super) long_lived: bool,
    pub(super) exact_counts: bool,
}

/// The state kept for an admitted request.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) request: Box<Request>,
    /// The index of its customer's account.
    pub(super) account: usize,
    /// The index of its service.
    pub(super) service: usize,
    pub(super) arrived: Time,
    pub(super) state: RequestState,
    /// Whether its timeout exceeds [`Config::long_lived`](super::Config::long_lived).
    pub(super) long_lived: bool,
    /// Whether its plan requires the count to be committed before the answer.
    pub(super) exact_counts: bool,
    pub(super) claimed: bool,
    /// Whether it may have run although no complete response arrived.
    pub(super) maybe_ran: bool,
    /// The number of the last attempt.
    pub(super) attempts: u32,
    /// The attempts in flight.
    pub(super) open: OpenAttempts,
    /// The target of the last attempt.
    pub(super) last_target: Option<usize>,
    pub(super) outcome: Option<RequestOutcome>,
    /// The error of the last failed attempt, reported to the caller.
    pub(super) last_error: Option<String>,
    /// When it is due for a retry or a hedge.
    pub(super) wake: Option<Time>,
    /// When the wait for the result of its claim ends.
    pub(super) claim_expiry: Option<Time>,
}

impl Entry {
    pub(super) fn new(now: Time, request: Box<Request>, admitted: Admitted) -> Self {
        Self {
            request,
            account: admitted.account,
            service: admitted.service,
            arrived: now,
            state: CHART.initial(),
            long_lived: admitted.long_lived,
            exact_counts: admitted.exact_counts,
            claimed: false,
            maybe_ran: false,
            attempts: 0,
            open: OpenAttempts::default(),
            last_target: None,
            outcome: None,
            last_error: None,
            wake: None,
            claim_expiry: None,
        }
    }

    /// Whether the key must be claimed before the request is sent. A request of a plan with exact
    /// counts needs a claim even if it is idempotent, so that a resend isn't counted again.
    pub(super) fn needs_claim(&self) -> bool {
        self.request.key.is_some() && (self.exact_counts || !self.request.idempotent)
    }

    /// The outcome of a request that is abandoned for `reason`.
    pub(super) fn given_up(&self, reason: NotRun) -> RequestOutcome {
        match self.maybe_ran {
            false => RequestOutcome::NotRun { reason },
            true => {
                let last_error =
                    self.last_error.as_deref().unwrap_or("no complete response arrived");
                RequestOutcome::Unknown { reason: format!("{last_error}; {}", ending(reason)) }
            }
        }
    }
}

fn ending(reason: NotRun) -> &'static str {
    match reason {
        NotRun::Deadline => "the deadline passed",
        NotRun::CallerGone => "the caller disconnected",
        NotRun::TargetsUnavailable => "it isn't retried",
        NotRun::NotAllowed
        | NotRun::NoTarget
        | NotRun::Overloaded
        | NotRun::Draining
        | NotRun::ConsensusUnavailable
        | NotRun::KeyReused
        | NotRun::MissingKey
        | NotRun::InProgress => "it was abandoned",
    }
}
