//! What is done with one batch task: the interpreter of `charts/interference.jsonc`.

use std::{sync::LazyLock, time::Duration};

use crate::{
    chart::{Chart, Step, Vocabulary},
    interference::limits::{
        COOL_DOWN, FULL_PERMILLE, MAX_RELAPSES, STEP_UP_PERMILLE, STOP_TIMEOUT, THROTTLE_HOLD,
        floor, floor_timeout, step_down,
    },
    policy::Objective,
    symbols,
    time::Time,
};

/// The chart's text.
const TEXT: &str = include_str!("../../../charts/interference.jsonc");

symbols! {
    /// Where the policy stands with a batch task.
    pub enum State {
        /// Nothing is held against it.
        Calm = "calm",
        /// It was blamed; the evidence must hold.
        Watching = "watching",
        /// It runs throttled.
        Throttled = "throttled",
        /// It runs as slowly as a throttle may make it.
        Floor = "floor",
        /// It was asked to checkpoint and stop.
        Moving = "moving",
        /// Its throttle was lifted a short time ago.
        Cooling = "cooling",
    }

    /// What a control interval found of a batch task.
    pub enum Verdict {
        /// It has the highest attributed harm on a worker where a service is degraded.
        Blamed = "blamed",
        /// A service is degraded, and another task has the blame.
        NotBlamed = "not_blamed",
        /// No service on the worker is degraded.
        Cleared = "cleared",
    }

    /// What a transition may depend on.
    pub enum Guard {
        /// A sample of a degraded service was taken since the state was last marked.
        FreshSample = "fresh_sample",
        /// No other task on the worker was acted on in this interval.
        MayAct = "may_act",
        /// The next step down reaches the floor.
        ReachesFloor = "reaches_floor",
        /// The last step was up.
        SteppedUp = "stepped_up",
        /// The next step up lifts the throttle.
        LiftsThrottle = "lifts_throttle",
        /// The next step up is expected to degraded no service, or the hold is over.
        Safe = "safe",
        /// The task has been at its floor for long enough.
        HeldAtFloor = "held_at_floor",
        /// The harm is large beyond doubt.
        Confident = "confident",
        /// The task is expected to do far less harm elsewhere.
        BetterElsewhere = "better_elsewhere",
        /// The task may be evicted, and few moves are under way.
        Movable = "movable",
        /// The state was marked long enough ago to be left.
        CooledDown = "cooled_down",
        /// The stop should have been reported.
        Overdue = "overdue",
    }

    /// What a transition does.
    pub enum ControlAction {
        /// Remember the time.
        MarkTime = "mark_time",
        /// Lower the throttle by a step.
        StepDown = "step_down",
        /// Raise the throttle by a step.
        StepUp = "step_up",
        /// Ask for the move.
        RequestMove = "request_move",
        /// Make the next hold longer.
        LengthenHold = "lengthen_hold",
        /// Make the next hold shorter.
        ShortenHold = "shorten_hold",
    }
}

type ControlChart = Chart<State, Verdict, Guard, ControlAction>;

static CHART: LazyLock<ControlChart> = LazyLock::new(|| {
    let vocabulary = Vocabulary {
        states: (State::ALL, State::NAMES),
        events: (Verdict::ALL, Verdict::NAMES),
        guards: (Guard::ALL, Guard::NAMES),
        actions: (ControlAction::ALL, ControlAction::NAMES),
    };
    Chart::parse("charts/interference.jsonc", TEXT, &vocabulary)
        .unwrap_or_else(|findings| panic!("{findings}"))
});

/// What the worker knows that a transition may depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuardInputs {
    /// See [`Guard::FreshSample`].
    pub(crate) fresh_sample: bool,
    /// See [`Guard::MayAct`].
    pub(crate) may_act: bool,
    /// Whether the next step up is expected to degraded no service.
    pub(crate) raise_is_safe: bool,
    /// See [`Guard::Confident`].
    pub(crate) confident: bool,
    /// See [`Guard::BetterElsewhere`].
    pub(crate) better_elsewhere: bool,
    /// See [`Guard::Movable`].
    pub(crate) movable: bool,
}

/// What a step asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Nothing.
    Nothing,
    /// A throttle, in thousandths.
    Throttle(u32),
    /// A move.
    Move,
}

/// The machine of one batch task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Control {
    state: State,
    objective: Objective,
    permille: u32,
    stepped_up: bool,
    marked: Time,
    relapses: u32,
}

impl Control {
    /// The machine of a task that was just placed; `objective` is that of its customer's plan.
    pub(crate) fn new(now: Time, objective: Objective) -> Self {
        let state = CHART.initial();
        Self {
            state,
            objective,
            permille: FULL_PERMILLE,
            stepped_up: false,
            marked: now,
            relapses: 0,
        }
    }

    /// Where the machine stands.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// The throttle after a step up, in thousandths of the task's natural use.
    pub(crate) fn raised(&self) -> u32 {
        (self.permille + STEP_UP_PERMILLE).min(FULL_PERMILLE)
    }

    /// When the state was last marked.
    pub(crate) fn marked(&self) -> Time {
        self.marked
    }

    /// Takes in what a control interval found.
    pub(crate) fn step(&mut self, now: Time, verdict: Verdict, inputs: &GuardInputs) -> Outcome {
        let before = *self;
        let holds = |guard| before.holds(now, guard, inputs);
        let Step { to, actions } = CHART
            .step(self.state, verdict, holds)
            .unwrap_or_else(|unhandled| panic!("{unhandled}"));
        self.state = to;
        let mut outcome = Outcome::Nothing;
        for action in actions {
            outcome = self.react(now, *action, outcome);
        }
        outcome
    }

    fn react(&mut self, now: Time, action: ControlAction, outcome: Outcome) -> Outcome {
        match action {
            ControlAction::MarkTime => {
                self.marked = now;
                outcome
            }
            ControlAction::StepDown => {
                self.permille = self.lowered();
                self.stepped_up = false;
                Outcome::Throttle(self.permille)
            }
            ControlAction::StepUp => {
                self.permille = self.raised();
                self.stepped_up = true;
                Outcome::Throttle(self.permille)
            }
            ControlAction::RequestMove => Outcome::Move,
            ControlAction::LengthenHold => {
                self.relapses = (self.relapses + 1).min(MAX_RELAPSES);
                outcome
            }
            ControlAction::ShortenHold => {
                self.relapses = self.relapses.saturating_sub(1);
                outcome
            }
        }
    }

    fn lowered(&self) -> u32 {
        let floor = floor(self.objective);
        self.permille.saturating_sub(step_down(self.objective)).max(floor)
    }

    fn holds(&self, now: Time, guard: Guard, inputs: &GuardInputs) -> bool {
        let elapsed = now.since(self.marked);
        match guard {
            Guard::FreshSample => inputs.fresh_sample,
            Guard::MayAct => inputs.may_act,
            Guard::ReachesFloor => self.lowered() == floor(self.objective),
            Guard::SteppedUp => self.stepped_up,
            Guard::LiftsThrottle => self.raised() == FULL_PERMILLE,
            Guard::Safe => inputs.raise_is_safe || elapsed >= self.hold(),
            Guard::HeldAtFloor => elapsed >= floor_timeout(self.objective),
            Guard::Confident => inputs.confident,
            Guard::BetterElsewhere => inputs.better_elsewhere,
            Guard::Movable => inputs.movable,
            Guard::CooledDown => elapsed >= COOL_DOWN,
            Guard::Overdue => elapsed >= STOP_TIMEOUT,
        }
    }

    /// How long a throttle is held against the estimate's advice.
    fn hold(&self) -> Duration {
        THROTTLE_HOLD * (1 << self.relapses)
    }
}
