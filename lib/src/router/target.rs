//! One target as this instance sees it, and the chart of its life.

use std::{sync::LazyLock, time::Duration};

use crate::{
    chart::{Chart, Vocabulary},
    router::{config::Config, latency::PeakEwma, port, shares},
    symbols,
    time::Time,
};

symbols! {
    /// Where a target is in its life.
    pub enum TargetState {
        /// New or back: it gets less than its part.
        Warming = "warming",
        /// It takes requests.
        Serving = "serving",
        /// It failed too often and gets none for a while.
        Ejected = "ejected",
        /// It is tried with one request at a time.
        Probing = "probing",
        /// It gets no new requests.
        Leaving = "leaving",
    }

    /// What happens to a target.
    pub enum TargetEvent {
        /// Its timer came due.
        Timer = "timer",
        /// A try at it succeeded.
        Succeeded = "succeeded",
        /// A try at it failed.
        Failed = "failed",
        /// It is leaving or gone.
        Leave = "leave",
        /// It announced that it takes requests.
        Return = "return",
    }

    /// What a rule depends on.
    pub enum TargetGuard {
        /// With this one, the failures in a row reach the limit.
        FailureLimit = "failure_limit",
        /// Few enough targets of the service are ejected.
        MayEject = "may_eject",
    }

    /// What a rule does.
    pub enum TargetAction {
        /// Counts a failure in a row.
        CountFailure = "count_failure",
        /// Forgets failures.
        ClearFailures = "clear_failures",
        /// Forgets earlier ejections.
        ClearEjections = "clear_ejections",
        /// Starts an ejection, longer than the one before.
        Eject = "eject",
        /// Starts the time in which it gets less than its part.
        WarmUp = "warm_up",
        /// Stops its timer.
        StopTimer = "stop_timer",
    }
}

/// The chart of a target's life.
pub type TargetChart = Chart<TargetState, TargetEvent, TargetGuard, TargetAction>;

/// The names that the chart may use.
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

/// The text of the chart's file.
pub const TARGET_CHART: &str = include_str!("../../../charts/target.jsonc");

pub(super) static CHART: LazyLock<TargetChart> = LazyLock::new(|| {
    Chart::parse("target.jsonc", TARGET_CHART, &TARGET_VOCABULARY).expect("the chart is whole")
});

/// How much worse a target looks at the start of its warm-up.
const COLD_PENALTY: f64 = 8.0;

/// A target, with what this instance learned of it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Apart, so that comparing targets touches little memory.
    pub(super) info: Box<port::Target>,
    /// Whether it is in this instance's data centre.
    pub(super) local: bool,
    /// The index of its service.
    pub(super) service: usize,
    pub(super) rotation: u64,
    pub(super) state: TargetState,
    /// This instance's part of its slots.
    pub(super) share: u32,
    /// This instance's part of its connections.
    pub(super) connections: u32,
    /// What of that the state lets it use.
    pub(super) usable: u32,
    pub(super) in_flight: u32,
    /// Its place in the service's list of targets with a free slot.
    pub(super) list_index: Option<usize>,
    pub(super) latency: PeakEwma,
    /// When something last came from it.
    pub(super) last_activity: Time,
    /// Whether its idle connections are doubted.
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

    /// What the state lets this instance use of its part.
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

    /// Whether it counts as ejected.
    pub(super) fn is_ejected(&self) -> bool {
        match self.state {
            TargetState::Ejected | TargetState::Probing => true,
            TargetState::Warming | TargetState::Serving | TargetState::Leaving => false,
        }
    }

    /// What a further request costs here, to be compared with other targets.
    pub(super) fn score(&self, now: Time, config: &Config) -> f64 {
        let load = f64::from(self.in_flight + 1) * self.latency.seconds(now);
        let whole = config.warm_up.as_secs_f64();
        let left = now.until(self.warm_at).as_secs_f64();
        match left > 0.0 {
            true => load * (1.0 + (COLD_PENALTY - 1.0) * left / whole),
            false => load,
        }
    }

    /// Carries out an action of the chart.
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

    /// When it is warm.
    pub(super) fn warm_at(&self) -> Time {
        self.warm_at
    }
}

/// `span` doubled `times` over.
pub(super) fn doubled(span: Duration, times: u32) -> Duration {
    span.saturating_mul(1_u32.checked_shl(times).unwrap_or(u32::MAX))
}
