//! Connections that went silent while their target answers others.

use std::time::Duration;

use crate::{
    router::{
        Router,
        port::{AttemptId, Effect},
        target::TargetEvent,
    },
    time::Time,
};

/// After so many silent spans a try is given up although its target is silent altogether.
const MAX_STALLS: u32 = 3;

/// A request without progress may take so many times what 95% of its service's requests take
/// before its connection is doubted.
const P95_FACTOR: u32 = 4;

impl Router {
    /// Looks at a try on which no progress may have come for the configured time.
    ///
    /// If the target was heard on another connection since, something between the two ends has
    /// lost track of this one. Otherwise the target's idle connections are doubted, and the try
    /// gets a few more spans. Either way the next attempts at the target open new connections.
    pub(super) fn check_stall(&mut self, now: Time, attempt: AttemptId, effects: &mut Vec<Effect>) {
        let span = self.stall_timeout(attempt);
        let Some(open) = self.attempts.get_mut(&attempt).filter(|t| t.is_due(now)) else { return };
        let quiet = open.last_activity + span;
        if now < quiet {
            open.check = quiet;
            self.timers.set_stall(quiet, attempt);
            return;
        }
        open.stalls += 1;
        let (key, stalls) = (open.target, open.stalls);
        let target = self.fleet.target_mut(key);
        let active_since = target.last_activity > open.last_activity;
        target.fresh = true;
        effects.push(Effect::CloseIdle { target: target.info.address.clone() });
        if active_since || stalls >= MAX_STALLS {
            self.counters.stalled += 1;
            self.fail_stalled(now, attempt, effects);
            return;
        }
        open.check = now + span;
        self.timers.set_stall(open.check, attempt);
        self.fleet.step(now, key, TargetEvent::Failed, &self.config, &mut self.timers);
    }

    /// How long a try may go without progress. A service whose requests take long is given that
    /// time; a standing request has no such time, and its connection is to be probed.
    fn stall_timeout(&self, attempt: AttemptId) -> Duration {
        let usual = self
            .requests
            .get(&attempt.request)
            .filter(|entry| !entry.long_lived)
            .map(|entry| self.fleet.services[entry.service].latencies.p95() * P95_FACTOR);
        usual.unwrap_or_default().max(self.config.stall_timeout)
    }
}
