//! Detection of stalled connections.

use std::time::Duration;

use crate::{
    router::{
        Router,
        port::{AttemptId, Effect},
        target::TargetEvent,
    },
    time::Time,
};

/// The number of stall checks without progress after which an attempt fails even if no data
/// arrives from its target on any connection.
const MAX_STALLS: u32 = 3;

/// An attempt may go without progress for this multiple of the 95th percentile of its service's
/// latency before it counts as stalled.
const P95_FACTOR: u32 = 4;

impl Router {
    /// Checks an attempt for progress.
    ///
    /// If other connections to the target made progress in the meantime, the network has probably
    /// dropped this connection, and the attempt fails. Otherwise the attempt gets a few more stall
    /// timeouts. In both cases the target's idle connections are closed, and the next attempts
    /// open new ones.
    pub(super) fn check_stall(&mut self, now: Time, attempt: AttemptId, effects: &mut Vec<Effect>) {
        let timeout = self.stall_timeout(attempt);
        let Some(open) = self.attempts.get_mut(&attempt).filter(|open| open.is_due(now)) else {
            return;
        };
        let due = open.last_activity + timeout;
        if now < due {
            open.check = due;
            self.timers.set_stall(due, attempt);
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
        open.check = now + timeout;
        self.timers.set_stall(open.check, attempt);
        self.fleet.step(now, key, TargetEvent::Failed, &self.config, &mut self.timers);
    }

    /// How long an attempt may go without progress. The timeout is longer for services with a high
    /// latency. For long-lived requests the latency tells nothing, and progress comes from probes
    /// on the connection.
    fn stall_timeout(&self, attempt: AttemptId) -> Duration {
        let multiple = self
            .requests
            .get(&attempt.request)
            .filter(|entry| !entry.long_lived)
            .map(|entry| self.fleet.services[entry.service].latencies.p95() * P95_FACTOR);
        multiple.unwrap_or_default().max(self.config.stall_timeout)
    }
}
