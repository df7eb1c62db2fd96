//! Which heartbeats name a worker to use.
//!
//! A heartbeat may come from another writer than a worker. One that names no worker to use changes
//! nothing: neither the worker whose name it has nor the one whose address it has.

use std::time::Duration;

use crate::{
    ids::Incarnation,
    jobs::{controller::leader::Leader, pool::LIVE_TIMEOUT, report::Report},
    time::Time,
};

/// How far the start of a worker may lie ahead of the leader's wall clock before it is doubted.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(10);

/// Why a heartbeat names no worker to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The configuration has no service with this name.
    UnknownService,
    /// It would replace a worker that is still heard, and its start lies in the future.
    FutureStart,
}

impl Refusal {
    /// The description for the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::UnknownService => "the configuration doesn't have its service",
            Self::FutureStart => {
                "its start is in the future, and the worker that it would replace is heard"
            }
        }
    }
}

impl Leader {
    /// Why the heartbeat names no worker to use; `None` if it does. The next heartbeat may be
    /// accepted: a later configuration may have the service, and the older worker may fall silent.
    pub(super) fn refusal(&self, now: Time, report: &Report) -> Option<Refusal> {
        if !self.has_service(report) && !self.has_worker(report) {
            return Some(Refusal::UnknownService);
        }
        let future = self.is_in_future(report.incarnation);
        (future && self.replaces_heard(now, report)).then_some(Refusal::FutureStart)
    }

    /// Whether the configuration has the service. Without a configuration that isn't known.
    fn has_service(&self, report: &Report) -> bool {
        let services = self.state.config.as_ref().map(|config| &config.services);
        services.is_none_or(|services| services.iter().any(|known| known.name == report.service))
    }

    /// Whether this incarnation is known with the same service. A configuration may drop a service
    /// while tasks run on its workers.
    fn has_worker(&self, report: &Report) -> bool {
        let worker = self.fleet.find(&report.name).and_then(|at| self.fleet.workers.get(&at));
        worker.is_some_and(|worker| {
            let profile = worker.profile.as_ref();
            worker.incarnation == report.incarnation
                && profile.is_none_or(|profile| profile.service == report.service)
        })
    }

    fn is_in_future(&self, start: Incarnation) -> bool {
        let lead = Duration::from_millis(start.0.saturating_sub(self.wall.0));
        lead > MAX_CLOCK_LEAD
    }

    /// Whether it is a later incarnation than a worker that has its name or its address and is heard.
    fn replaces_heard(&self, now: Time, report: &Report) -> bool {
        self.fleet.workers.values().any(|worker| {
            let addressed = worker.profile.as_ref().is_some_and(|at| at.address == report.address);
            (worker.name == report.name || addressed)
                && worker.incarnation < report.incarnation
                && now.since(worker.last_heartbeat) < LIVE_TIMEOUT
        })
    }
}
