//! Which target a request goes to.

use rand::Rng;

use crate::{
    router::{
        config::Config,
        fleet::Fleet,
        target::{Target, TargetState},
    },
    time::Time,
};

/// Targets that are drawn and compared. With two, one slow target in eight would still get one
/// request in 64, enough to rule the tail.
const CANDIDATES: usize = 3;

/// What a request wants of its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Preference {
    /// The target of the try before, which another one is preferred to.
    pub(super) avoid: Option<usize>,
    /// Whether it may be sent again after it may have run; such a request may try a doubted
    /// target out.
    pub(super) idempotent: bool,
}

impl Preference {
    fn accepts(self, key: usize, target: &Target) -> bool {
        let doubted = match target.state {
            TargetState::Probing => true,
            TargetState::Warming
            | TargetState::Serving
            | TargetState::Ejected
            | TargetState::Leaving => false,
        };
        self.avoid != Some(key) && (self.idempotent || !doubted)
    }
}

/// A target of the service with a free slot, or nothing if there is none.
///
/// The own data centre goes first. Of few targets the one with the lowest score is taken, of
/// many the best of three that are drawn, so that the cost doesn't grow with their number and
/// the instances don't all run after the same one.
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
        Rank { doubted: !preference.accepts(key, target), score: target.score(now, config), key }
    };
    if list.len() <= CANDIDATES {
        return best(list.iter().map(|key| rank(*key)));
    }
    best(draw_distinct(list.len(), rng).into_iter().map(|at| rank(list[at])))
}

/// What a target is compared by; lower is better.
struct Rank {
    doubted: bool,
    score: f64,
    key: usize,
}

fn best(ranks: impl Iterator<Item = Rank>) -> Option<usize> {
    let order = |a: &Rank, b: &Rank| a.doubted.cmp(&b.doubted).then(a.score.total_cmp(&b.score));
    ranks.min_by(order).map(|rank| rank.key)
}

/// Different places below `len`, which is larger than their number.
fn draw_distinct(len: usize, rng: &mut impl Rng) -> [usize; CANDIDATES] {
    let first = rng.random_range(0..len);
    let second = (first + rng.random_range(1..len)) % len;
    let (low, high) = (first.min(second), first.max(second));
    let mut third = rng.random_range(0..len - 2);
    third += usize::from(third >= low);
    third += usize::from(third >= high);
    [first, second, third]
}
