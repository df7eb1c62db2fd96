//! One request that was admitted, and the chart of its life.

use std::sync::LazyLock;

use crate::{
    chart::{Chart, Vocabulary},
    router::port::{NotRun, Request, RequestOutcome},
    symbols,
    time::Time,
};

symbols! {
    /// Where a request is in its life.
    pub enum RequestState {
        /// It was just admitted.
        Admitted = "admitted",
        /// Its key is being claimed.
        Claiming = "claiming",
        /// It was answered "not run" before its claim was.
        Releasing = "releasing",
        /// It waits for a slot.
        Waiting = "waiting",
        /// A try or two are under way.
        Sending = "sending",
        /// It waits before the next try.
        BackingOff = "backing_off",
        /// It ran; the answer waits for the record.
        Recording = "recording",
        /// It was answered; its record isn't confirmed yet.
        Settling = "settling",
        /// Nothing is left to do.
        Done = "done",
    }

    /// What happens to a request.
    pub enum RequestEvent {
        /// It was admitted.
        Start = "start",
        /// Its key is claimed.
        Claimed = "claimed",
        /// Its key was claimed before, or belongs to a different request.
        ClaimFound = "claim_found",
        /// The council doesn't answer.
        ClaimFailed = "claim_failed",
        /// A target has a free slot for it.
        Dispatch = "dispatch",
        /// A whole answer came.
        Answered = "answered",
        /// A try ended before the target started it.
        Refused = "refused",
        /// A try ended without a whole answer after bytes left.
        Lost = "lost",
        /// Its pause is over, or it is slower than most.
        Timer = "timer",
        /// Its deadline passed.
        Deadline = "deadline",
        /// Its caller went away.
        CallerGone = "caller_gone",
        /// It can't be served before its deadline.
        Unservable = "unservable",
        /// Its record is confirmed.
        Recorded = "recorded",
        /// Its claim is remembered no longer.
        Expired = "expired",
    }

    /// What a rule depends on.
    pub enum RequestGuard {
        /// It needs a claim.
        NeedsClaim = "needs_claim",
        /// It holds a claim.
        ClaimHeld = "claim_held",
        /// The answer waits for the record.
        ExactCounts = "exact_counts",
        /// Another try is still under way.
        AttemptOpen = "attempt_open",
        /// It may be sent again after it may have run.
        Idempotent = "idempotent",
        /// The budget and the deadline leave room for another try.
        MayRetry = "may_retry",
        /// A second try may be sent while the first is under way.
        MayHedge = "may_hedge",
    }

    /// What a rule does.
    pub enum RequestAction {
        /// Asks the council for the key.
        Claim = "claim",
        /// Notes that the key is claimed.
        HoldClaim = "hold_claim",
        /// Puts it into the queue of its service.
        Enqueue = "enqueue",
        /// Takes it off the queue.
        Dequeue = "dequeue",
        /// Sends a try to the target that was found.
        Send = "send",
        /// Sends a second try to another target.
        Hedge = "hedge",
        /// Gives up the attempts that are under way.
        Abandon = "abandon",
        /// Notes that it may have run.
        MarkMaybeRun = "mark_maybe_run",
        /// Sets the pause before the next try.
        BackOff = "back_off",
        /// Takes the outcome that came.
        KeepOutcome = "keep_outcome",
        /// Makes the outcome "unknown" if it may have run and "not run" otherwise.
        GiveUp = "give_up",
        /// Records what became of it.
        Record = "record",
        /// Tells the caller the outcome.
        Answer = "answer",
        /// Tells the caller that the outcome isn't recorded.
        AnswerUnrecorded = "answer_unrecorded",
    }
}

/// The chart of a request's life.
pub type RequestChart = Chart<RequestState, RequestEvent, RequestGuard, RequestAction>;

/// The names that the chart may use.
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

/// The text of the chart's file.
pub const REQUEST_CHART: &str = include_str!("../../../charts/request.jsonc");

pub(super) static CHART: LazyLock<RequestChart> = LazyLock::new(|| {
    Chart::parse("request.jsonc", REQUEST_CHART, &REQUEST_VOCABULARY).expect("the chart is whole")
});

/// Which bound a request counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Bound {
    /// Requests that wait.
    Waiting,
    /// Requests whose claim or record isn't confirmed.
    Unsettled,
    /// None: slots bound it, or it is over.
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

    /// Whether the caller still waits.
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

/// The numbers of the attempts of a request that are under way: one, or one and its hedge.
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

/// What is found out about a request when it is taken in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Admitted {
    /// The number of its customer.
    pub(super) account: usize,
    /// The index of its service.
    pub(super) service: usize,
    pub(super) long_lived: bool,
    pub(super) exact_counts: bool,
}

/// A request under way.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) request: Box<Request>,
    /// The number of its customer.
    pub(super) account: usize,
    /// The index of its service.
    pub(super) service: usize,
    pub(super) arrived: Time,
    pub(super) state: RequestState,
    /// Whether its caller waits so long that it counts as a watcher.
    pub(super) long_lived: bool,
    /// Whether its plan wants the count committed before the answer.
    pub(super) exact_counts: bool,
    pub(super) claimed: bool,
    /// Whether it may have run without a whole answer.
    pub(super) may_have_run: bool,
    /// The number of the last try.
    pub(super) attempts: u32,
    /// The numbers of the attempts under way.
    pub(super) open: OpenAttempts,
    /// The target of the last try.
    pub(super) last_target: Option<usize>,
    pub(super) outcome: Option<RequestOutcome>,
    /// What went wrong last, for the caller.
    pub(super) last_error: Option<String>,
    /// When it is sent again or hedged.
    pub(super) wake: Option<Time>,
    /// When its claim is forgotten.
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
            may_have_run: false,
            attempts: 0,
            open: OpenAttempts::default(),
            last_target: None,
            outcome: None,
            last_error: None,
            wake: None,
            claim_expiry: None,
        }
    }

    /// Whether the key is claimed before the request leaves. A request of a plan with exact
    /// counts is claimed although it is idempotent, so that a resend isn't counted again.
    pub(super) fn needs_claim(&self) -> bool {
        self.request.key.is_some() && (self.exact_counts || !self.request.idempotent)
    }

    /// The outcome of a request that is given up for `reason`.
    pub(super) fn given_up(&self, reason: NotRun) -> RequestOutcome {
        match self.may_have_run {
            false => RequestOutcome::NotRun { reason },
            true => {
                let last_error = self.last_error.as_deref().unwrap_or("no whole answer came");
                RequestOutcome::Unknown { reason: format!("{last_error}; {}", ending(reason)) }
            }
        }
    }
}

fn ending(reason: NotRun) -> &'static str {
    match reason {
        NotRun::Deadline => "the deadline passed",
        NotRun::CallerGone => "the caller went away",
        NotRun::TargetsUnavailable => "it isn't sent again",
        NotRun::NotAllowed
        | NotRun::NoTarget
        | NotRun::Overloaded
        | NotRun::Draining
        | NotRun::ConsensusUnavailable
        | NotRun::KeyReused
        | NotRun::MissingKey
        | NotRun::InProgress => "it was given up",
    }
}
