//! Target selection.

use rand::Rng;

use crate::{
    router::{
        config::Config,
        fleet::Fleet,
        target::{Target, TargetState},
    },
    time::Time,
};

/// The number of random candidates that are compared. With two candidates and one slow target in
/// eight, one request in 64 would still go to the slow target, which dominates the tail latency.
const CANDIDATES: usize = 3;

/// Which targets a request avoids while others have a free slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Preference {
    /// The target of the previous attempt; other targets are preferred.
    pub(super) avoid: Option<usize>,
    /// Whether the request may be retried after it may have run. Other requests avoid targets that
    /// are being probed.
    pub(super) idempotent: bool,
}

impl Preference {
    fn accepts(self, key: usize, target: &Target) -> bool {
        let probing = match target.state {
            TargetState::Probing => true,
            TargetState::Warming
            | TargetState::Serving
            | TargetState::Ejected
            | TargetState::Leaving => false,
        };
        self.avoid != Some(key) && (self.idempotent || !probing)
    }
}

/// Selects a target of the service with a free slot, or `None` if there is none.
///
/// Targets in the local data centre are preferred. Among up to [`CANDIDATES`] targets the one
/// with the lowest score is chosen, among more the best of that many random ones. This keeps the
/// cost independent of the number of targets, and the instances don't all choose the same one.
pub(super) fn choose(
    fleet: &Fleet,
    service: usize,
    preference: Preference,
    now: Time,
    config: &Config,
    rng: &mut impl Rng,
) -> Option<usize> {
    let service = &fleet.services[service];
    let list = match service.local.is_empty() {
        true => &service.remote,
        false => &service.local,
    };
    let rank = |key: usize| {
        let target = fleet.target(key);
        Rank { avoided: !preference.accepts(key, target), score: target.score(now, config), key }
    };
    if list.len() <= CANDIDATES {
        return best(list.iter().map(|key| rank(*key)));
    }
    best(draw_distinct(list.len(), rng).into_iter().map(|at| rank(list[at])))
}

/// The sort key of a candidate; lower is better.
struct Rank {
    avoided: bool,
    score: f64,
    key: usize,
}

fn best(ranks: impl Iterator<Item = Rank>) -> Option<usize> {
    let order = |a: &Rank, b: &Rank| a.avoided.cmp(&b.avoided).then(a.score.total_cmp(&b.score));
    ranks.min_by(order).map(|rank| rank.key)
}

/// Draws distinct indices below `len`, which must be greater than [`CANDIDATES`].
fn draw_distinct(len: usize, rng: &mut impl Rng) -> [usize; CANDIDATES] {
    let first = rng.random_range(0..len);
    let second = (first + rng.random_range(1..len)) % len;
    let (low, high) = (first.min(second), first.max(second));
    let mut third = rng.random_range(0..len - 2);
    third += usize::from(third >= low);
    third += usize::from(third >= high);
    [first, second, third]
}
