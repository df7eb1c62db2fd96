//! What is done with one batch task: the interpreter of `charts/interference.jsonc`.

use std::{sync::LazyLock, time::Duration};

use crate::{
    chart::{Chart, Step, Vocabulary},
    interference::limits::{
        COOLING, MAX_RELAPSES, PROBE, STEP_UP, STOP_TIMEOUT, WHOLE, floor, floor_hold, step_down,
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
        /// It has the highest attributed harm on a worker where a service is hurt.
        Blamed = "blamed",
        /// A service is hurt, and another task has the blame.
        Steady = "steady",
        /// No service on the worker is hurt.
        Cleared = "cleared",
    }

    /// What a transition may depend on.
    pub enum Guard {
        /// A sample of a hurt service was taken since the state was last marked.
        Settled = "settled",
        /// No other task on the worker was acted on in this interval.
        Budgeted = "budgeted",
        /// The next step down reaches the floor.
        Lowest = "lowest",
        /// The last step was up.
        Risen = "risen",
        /// The next step up lifts the throttle.
        Whole = "whole",
        /// The next step up is expected to hurt no service, or the hold is over.
        Safe = "safe",
        /// The task has been at its floor for long enough.
        Stuck = "stuck",
        /// The harm is large beyond doubt.
        Certain = "certain",
        /// The task is expected to do far less harm elsewhere.
        Better = "better",
        /// The task may be evicted, and few moves are under way.
        Movable = "movable",
        /// The state was marked long enough ago to be left.
        Cooled = "cooled",
        /// The stop should have been reported.
        Overdue = "overdue",
    }

    /// What a transition does.
    pub enum Reaction {
        /// Remember the time.
        Mark = "mark",
        /// Lower the throttle by a step.
        StepDown = "step_down",
        /// Raise the throttle by a step.
        StepUp = "step_up",
        /// Ask for the move.
        MoveAway = "move_away",
        /// Make the next hold longer.
        Relapse = "relapse",
        /// Make the next hold shorter.
        Forgive = "forgive",
    }
}

type ControlChart = Chart<State, Verdict, Guard, Reaction>;

static CHART: LazyLock<ControlChart> = LazyLock::new(|| {
    let vocabulary = Vocabulary {
        states: (State::ALL, State::NAMES),
        events: (Verdict::ALL, Verdict::NAMES),
        guards: (Guard::ALL, Guard::NAMES),
        actions: (Reaction::ALL, Reaction::NAMES),
    };
    Chart::parse("charts/interference.jsonc", TEXT, &vocabulary)
        .unwrap_or_else(|findings| panic!("{findings}"))
});

/// What the worker knows that a transition may depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    /// See [`Guard::Settled`].
    pub(crate) settled: bool,
    /// See [`Guard::Budgeted`].
    pub(crate) budgeted: bool,
    /// Whether the next step up is expected to hurt no service.
    pub(crate) harmless: bool,
    /// See [`Guard::Certain`].
    pub(crate) certain: bool,
    /// See [`Guard::Better`].
    pub(crate) better: bool,
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
    risen: bool,
    marked: Time,
    relapses: u32,
}

impl Control {
    /// The machine of a task that was just placed; `objective` is that of its customer's plan.
    pub(crate) fn new(now: Time, objective: Objective) -> Self {
        let state = CHART.initial();
        Self { state, objective, permille: WHOLE, risen: false, marked: now, relapses: 0 }
    }

    /// Where the machine stands.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// The throttle after a step up, in thousandths of the task's natural use.
    pub(crate) fn raised(&self) -> u32 {
        (self.permille + STEP_UP).min(WHOLE)
    }

    /// When the state was last marked.
    pub(crate) fn marked(&self) -> Time {
        self.marked
    }

    /// Takes in what a control interval found.
    pub(crate) fn step(&mut self, now: Time, verdict: Verdict, facts: &Facts) -> Outcome {
        let before = *self;
        let holds = |guard| before.holds(now, guard, facts);
        let Step { to, actions } = CHART
            .step(self.state, verdict, holds)
            .unwrap_or_else(|unhandled| panic!("{unhandled}"));
        self.state = to;
        let mut outcome = Outcome::Nothing;
        for reaction in actions {
            outcome = self.react(now, *reaction, outcome);
        }
        outcome
    }

    fn react(&mut self, now: Time, reaction: Reaction, outcome: Outcome) -> Outcome {
        match reaction {
            Reaction::Mark => {
                self.marked = now;
                outcome
            }
            Reaction::StepDown => {
                self.permille = self.lowered();
                self.risen = false;
                Outcome::Throttle(self.permille)
            }
            Reaction::StepUp => {
                self.permille = self.raised();
                self.risen = true;
                Outcome::Throttle(self.permille)
            }
            Reaction::MoveAway => Outcome::Move,
            Reaction::Relapse => {
                self.relapses = (self.relapses + 1).min(MAX_RELAPSES);
                outcome
            }
            Reaction::Forgive => {
                self.relapses = self.relapses.saturating_sub(1);
                outcome
            }
        }
    }

    fn lowered(&self) -> u32 {
        let floor = floor(self.objective);
        self.permille.saturating_sub(step_down(self.objective)).max(floor)
    }

    fn holds(&self, now: Time, guard: Guard, facts: &Facts) -> bool {
        let elapsed = now.since(self.marked);
        match guard {
            Guard::Settled => facts.settled,
            Guard::Budgeted => facts.budgeted,
            Guard::Lowest => self.lowered() == floor(self.objective),
            Guard::Risen => self.risen,
            Guard::Whole => self.raised() == WHOLE,
            Guard::Safe => facts.harmless || elapsed >= self.hold(),
            Guard::Stuck => elapsed >= floor_hold(self.objective),
            Guard::Certain => facts.certain,
            Guard::Better => facts.better,
            Guard::Movable => facts.movable,
            Guard::Cooled => elapsed >= COOLING,
            Guard::Overdue => elapsed >= STOP_TIMEOUT,
        }
    }

    /// How long a throttle is held against the estimate's advice.
    fn hold(&self) -> Duration {
        PROBE * (1 << self.relapses)
    }
}
