//! Controls the throttling and moves of a batch task by interpreting `charts/interference.jsonc`.

use std::{sync::LazyLock, time::Duration};

use crate::{
    chart::{Chart, Step, Vocabulary},
    interference::limits::{
        COOL_DOWN, FULL_PERMILLE, MAX_HOLD_DOUBLINGS, STEP_UP_PERMILLE, STOP_TIMEOUT,
        THROTTLE_HOLD, floor, min_floor_time, step_down,
    },
    policy::Objective,
    symbols,
    time::Time,
};

/// The contents of the chart file.
const TEXT: &str = include_str!("../../../charts/interference.jsonc");

symbols! {
    /// The control state of a batch task.
    pub enum State {
        /// It isn't blamed or throttled.
        Calm = "calm",
        /// It was blamed once; more evidence is needed before a throttle.
        Watching = "watching",
        /// It is throttled.
        Throttled = "throttled",
        /// It is throttled to the lowest allowed level.
        Floor = "floor",
        /// It was asked to write a checkpoint and stop.
        Moving = "moving",
        /// Its throttle was lifted recently.
        Cooling = "cooling",
    }

    /// The result of a control interval for a batch task.
    pub enum Verdict {
        /// A service on the worker is degraded, and this task has the highest attributed harm.
        Blamed = "blamed",
        /// A service on the worker is degraded, and this task isn't blamed.
        NotBlamed = "not_blamed",
        /// No service on the worker is degraded.
        Cleared = "cleared",
    }

    /// A condition of a transition.
    pub enum Guard {
        /// A degraded service was sampled long enough after the marked time to show the effect of an
        /// action at that time.
        FreshSample = "fresh_sample",
        /// No action was taken on another task of the worker in this interval.
        MayAct = "may_act",
        /// The next step down reaches the floor.
        ReachesFloor = "reaches_floor",
        /// The last throttle step was up.
        SteppedUp = "stepped_up",
        /// The next step up lifts the throttle.
        LiftsThrottle = "lifts_throttle",
        /// The next step up isn't expected to degrade any service, or the throttle's hold is over.
        Safe = "safe",
        /// The task has been at its floor for long enough.
        HeldAtFloor = "held_at_floor",
        /// The estimated harm is large with high confidence.
        Confident = "confident",
        /// The task is expected to do far less harm on another worker.
        BetterElsewhere = "better_elsewhere",
        /// The task has evictions left, and the limit of concurrent moves isn't reached.
        Movable = "movable",
        /// The cool-down since the last marked time is over.
        CooledDown = "cooled_down",
        /// The report of the stop is overdue.
        Overdue = "overdue",
    }

    /// An action of a transition.
    pub enum ControlAction {
        /// Set the marked time to now.
        MarkTime = "mark_time",
        /// Lower the throttle by a step.
        StepDown = "step_down",
        /// Raise the throttle by a step.
        StepUp = "step_up",
        /// Request the move.
        RequestMove = "request_move",
        /// Double the hold before the next step up, to a limit.
        LengthenHold = "lengthen_hold",
        /// Halve the hold before the next step up.
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

/// Inputs of the guards that depend on the state of the worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuardInputs {
    /// See [`Guard::FreshSample`].
    pub(crate) fresh_sample: bool,
    /// See [`Guard::MayAct`].
    pub(crate) may_act: bool,
    /// Whether the next step up isn't expected to degrade any service.
    pub(crate) safe_raise: bool,
    /// See [`Guard::Confident`].
    pub(crate) confident: bool,
    /// See [`Guard::BetterElsewhere`].
    pub(crate) better_elsewhere: bool,
    /// See [`Guard::Movable`].
    pub(crate) movable: bool,
}

/// The action requested by a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// No action.
    Nothing,
    /// A throttle, in thousandths.
    Throttle(u32),
    /// A move to another worker.
    Move,
}

/// The state machine of a batch task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Control {
    state: State,
    objective: Objective,
    permille: u32,
    stepped_up: bool,
    marked: Time,
    hold_doublings: u32,
}

impl Control {
    /// Creates the state machine of a newly placed task with its plan's objective.
    pub(crate) fn new(now: Time, objective: Objective) -> Self {
        let state = CHART.initial();
        Self {
            state,
            objective,
            permille: FULL_PERMILLE,
            stepped_up: false,
            marked: now,
            hold_doublings: 0,
        }
    }

    /// The current state.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// The throttle after a step up, in thousandths of the task's unthrottled usage.
    pub(crate) fn raised(&self) -> u32 {
        (self.permille + STEP_UP_PERMILLE).min(FULL_PERMILLE)
    }

    /// The marked time.
    pub(crate) fn marked(&self) -> Time {
        self.marked
    }

    /// Applies the result of a control interval.
    pub(crate) fn step(&mut self, now: Time, verdict: Verdict, inputs: &GuardInputs) -> Outcome {
        let before = *self;
        let holds = |guard| before.holds(now, guard, inputs);
        let Step { to, actions } = CHART
            .step(self.state, verdict, holds)
            .unwrap_or_else(|unhandled| panic!("{unhandled}"));
        self.state = to;
        let mut outcome = Outcome::Nothing;
        for action in actions {
            outcome = self.run_action(now, *action, outcome);
        }
        outcome
    }

    fn run_action(&mut self, now: Time, action: ControlAction, outcome: Outcome) -> Outcome {
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
                self.hold_doublings = (self.hold_doublings + 1).min(MAX_HOLD_DOUBLINGS);
                outcome
            }
            ControlAction::ShortenHold => {
                self.hold_doublings = self.hold_doublings.saturating_sub(1);
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
            Guard::Safe => inputs.safe_raise || elapsed >= self.hold_time(),
            Guard::HeldAtFloor => elapsed >= min_floor_time(self.objective),
            Guard::Confident => inputs.confident,
            Guard::BetterElsewhere => inputs.better_elsewhere,
            Guard::Movable => inputs.movable,
            Guard::CooledDown => elapsed >= COOL_DOWN,
            Guard::Overdue => elapsed >= STOP_TIMEOUT,
        }
    }

    /// How long a throttle is held although a step up is expected to degrade a service.
    fn hold_time(&self) -> Duration {
        THROTTLE_HOLD * (1 << self.hold_doublings)
    }
}
