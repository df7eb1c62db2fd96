//! Connections that went silent while their target answers others.

use std::time::Duration;

use crate::{
    router::{
        Router,
        port::{Effect, TryId},
        target::TargetEvent,
    },
    time::Time,
};

/// After so many silent spans a try is given up although its target is silent altogether.
const SILENT_SPANS: u32 = 3;

/// A request without progress may take so many times what 95% of its service's requests take
/// before its connection is doubted.
const TAILS: u32 = 4;

impl Router {
    /// Looks at a try on which no progress may have come for the configured time.
    ///
    /// If the target was heard on another connection since, something between the two ends has
    /// lost track of this one. Otherwise the target's idle connections are doubted, and the try
    /// gets a few more spans. Either way the next tries at the target open new connections.
    pub(super) fn silent(&mut self, now: Time, attempt: TryId, effects: &mut Vec<Effect>) {
        let span = self.silent_span(attempt);
        let Some(flying) = self.tries.get_mut(&attempt).filter(|t| t.is_due(now)) else { return };
        let quiet = flying.heard + span;
        if now < quiet {
            flying.check = quiet;
            self.timers.set_silence(quiet, attempt);
            return;
        }
        flying.silences += 1;
        let (key, silences) = (flying.target, flying.silences);
        let target = self.fleet.target_mut(key);
        let heard_since = target.heard > flying.heard;
        target.fresh = true;
        effects.push(Effect::CloseIdle { target: target.info.address.clone() });
        if heard_since || silences >= SILENT_SPANS {
            self.counters.silent += 1;
            self.lose_silent(now, attempt, effects);
            return;
        }
        flying.check = now + span;
        self.timers.set_silence(flying.check, attempt);
        self.fleet.step(now, key, TargetEvent::Failed, &self.config, &mut self.timers);
    }

    /// How long a try may go without progress. A service whose requests take long is given that
    /// time; a standing request has no such time, and its connection is to be probed.
    fn silent_span(&self, attempt: TryId) -> Duration {
        let usual = self
            .requests
            .get(&attempt.request)
            .filter(|entry| !entry.standing)
            .map(|entry| self.fleet.services[entry.service].quantiles.tail() * TAILS);
        usual.unwrap_or_default().max(self.config.silence)
    }
}
