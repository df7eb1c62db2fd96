//! The state of a target as seen by this instance, and its state chart.

use std::{sync::LazyLock, time::Duration};

use crate::{
    chart::{Chart, Vocabulary},
    router::{config::Config, latency::PeakEwma, port, shares},
    symbols,
    time::Time,
};

symbols! {
    /// The state of a target.
    pub enum TargetState {
        /// It is new or has recovered, and receives less than its share of the requests.
        Warming = "warming",
        /// It receives its full share of the requests.
        Serving = "serving",
        /// It failed repeatedly and receives no requests for a while.
        Ejected = "ejected",
        /// Its ejection is over; it receives one request at a time until one succeeds.
        Probing = "probing",
        /// It is leaving and receives no new requests.
        Leaving = "leaving",
    }

    /// An event that concerns a target.
    pub enum TargetEvent {
        /// Its timer fired.
        Timer = "timer",
        /// An attempt on it succeeded.
        Succeeded = "succeeded",
        /// An attempt on it failed.
        Failed = "failed",
        /// It is leaving or was withdrawn.
        Leave = "leave",
        /// It announced that it accepts requests.
        Return = "return",
    }

    /// A condition of a transition.
    pub enum TargetGuard {
        /// This failure brings the consecutive failures to the limit.
        FailureLimit = "failure_limit",
        /// Another ejection keeps the service within its limit of ejected targets.
        MayEject = "may_eject",
    }

    /// An action of a transition.
    pub enum TargetAction {
        /// Increments the count of consecutive failures.
        CountFailure = "count_failure",
        /// Resets the count of consecutive failures.
        ClearFailures = "clear_failures",
        /// Resets the count of ejections.
        ClearEjections = "clear_ejections",
        /// Starts an ejection, longer than the previous one.
        Eject = "eject",
        /// Starts the warm-up.
        WarmUp = "warm_up",
        /// Cancels its timer.
        StopTimer = "stop_timer",
    }
}

/// The state chart of a target.
pub type TargetChart = Chart<TargetState, TargetEvent, TargetGuard, TargetAction>;

/// The names allowed in the chart file.
pub const TARGET_VOCABULARY: Vocabulary<
    'static,
    TargetState,
    TargetEvent,
    TargetGuard,
    TargetAction,
> = Vocabulary {
    states: (TargetState::ALL, TargetState::NAMES),
    events: (TargetEvent::ALL, TargetEvent::NAMES),
    guards: (TargetGuard::ALL, TargetGuard::NAMES),
    actions: (TargetAction::ALL, TargetAction::NAMES),
};

/// The contents of the chart file.
pub const TARGET_CHART: &str = include_str!("../../../charts/target.jsonc");

pub(super) static CHART: LazyLock<TargetChart> = LazyLock::new(|| {
    Chart::parse("target.jsonc", TARGET_CHART, &TARGET_VOCABULARY)
        .expect("the built-in chart is valid")
});

/// The factor applied to a target's score at the start of its warm-up.
const COLD_PENALTY: f64 = 8.0;

/// A target with the state that this instance keeps for it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Boxed so that comparing targets touches little memory.
    pub(super) info: Box<port::Target>,
    /// Whether it is in this instance's data centre.
    pub(super) local: bool,
    /// The index of its service.
    pub(super) service: usize,
    pub(super) rotation: u64,
    pub(super) state: TargetState,
    /// This instance's share of its slots.
    pub(super) share: u32,
    /// This instance's share of its connections.
    pub(super) connections: u32,
    /// The slots that may be used in the current state.
    pub(super) usable: u32,
    pub(super) in_flight: u32,
    /// Its index in the service's list of targets with a free slot.
    pub(super) list_index: Option<usize>,
    pub(super) latency: PeakEwma,
    /// When data last arrived from it.
    pub(super) last_activity: Time,
    /// Whether attempts must open a new connection because idle ones may be stalled.
    pub(super) fresh: bool,
    pub(super) withdrawn: bool,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) timer: Option<Time>,
    warm_at: Time,
}

impl Target {
    pub(super) fn new(now: Time, info: Box<port::Target>, service: usize, config: &Config) -> Self {
        Self {
            rotation: shares::rotation(&info.address),
            local: info.centre == config.centre,
            info,
            service,
            state: CHART.initial(),
            share: 0,
            connections: 0,
            usable: 0,
            in_flight: 0,
            list_index: None,
            latency: PeakEwma::new(now),
            last_activity: now,
            fresh: false,
            withdrawn: false,
            failures: 0,
            ejections: 0,
            timer: None,
            warm_at: now + config.warm_up,
        }
    }

    /// The slots of this instance's share that may be used in the current state.
    pub(super) fn usable_share(&self) -> u32 {
        match self.state {
            TargetState::Warming | TargetState::Serving => self.share,
            TargetState::Probing => self.share.min(1),
            TargetState::Ejected | TargetState::Leaving => 0,
        }
    }

    /// Whether it isn't leaving.
    pub(super) fn is_active(&self) -> bool {
        match self.state {
            TargetState::Leaving => false,
            TargetState::Warming
            | TargetState::Serving
            | TargetState::Ejected
            | TargetState::Probing => true,
        }
    }

    /// Whether it is ejected or being probed.
    pub(super) fn is_ejected(&self) -> bool {
        match self.state {
            TargetState::Ejected | TargetState::Probing => true,
            TargetState::Warming | TargetState::Serving | TargetState::Leaving => false,
        }
    }

    /// The estimated cost of one more request, for comparison with other targets.
    pub(super) fn score(&self, now: Time, config: &Config) -> f64 {
        let load = f64::from(self.in_flight + 1) * self.latency.seconds(now);
        let whole = config.warm_up.as_secs_f64();
        let left = now.until(self.warm_at).as_secs_f64();
        match left > 0.0 {
            true => load * (1.0 + (COLD_PENALTY - 1.0) * left / whole),
            false => load,
        }
    }

    /// Executes an action of the chart.
    pub(super) fn act(&mut self, now: Time, action: TargetAction, config: &Config) {
        match action {
            TargetAction::CountFailure => self.failures = self.failures.saturating_add(1),
            TargetAction::ClearFailures => self.failures = 0,
            TargetAction::ClearEjections => self.ejections = 0,
            TargetAction::Eject => {
                let span = doubled(config.ejection, self.ejections).min(config.max_ejection);
                self.ejections = self.ejections.saturating_add(1);
                self.timer = Some(now + span);
            }
            TargetAction::WarmUp => {
                self.warm_at = now + config.warm_up;
                self.timer = Some(self.warm_at);
            }
            TargetAction::StopTimer => self.timer = None,
        }
    }

    /// When its warm-up ends.
    pub(super) fn warm_at(&self) -> Time {
        self.warm_at
    }
}

/// `span` doubled `times` times, saturating.
pub(super) fn doubled(span: Duration, times: u32) -> Duration {
    span.saturating_mul(1_u32.checked_shl(times).unwrap_or(u32::MAX))
}
