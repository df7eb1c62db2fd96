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

/// Up to this many targets are all compared; of more, two are drawn.
const FEW: usize = 3;

/// What a request wants of its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wish {
    /// The target of the try before, which another one is preferred to.
    pub(super) avoid: Option<usize>,
    /// Whether it may be sent again after it may have run; such a request may try a doubted
    /// target out.
    pub(super) idempotent: bool,
}

impl Wish {
    fn puts_up_with(self, key: usize, target: &Target) -> bool {
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
/// many the better of two that are drawn, so that the cost doesn't grow with their number and
/// the instances don't all run after the same one.
pub(super) fn choose(
    fleet: &Fleet,
    service: usize,
    wish: Wish,
    now: Time,
    config: &Config,
    rng: &mut impl Rng,
) -> Option<usize> {
    let service = &fleet.services[service];
    let list = match service.near.is_empty() {
        true => &service.far,
        false => &service.near,
    };
    let rank = |key: &usize| {
        let target = fleet.target(*key);
        (!wish.puts_up_with(*key, target), target.score(now, config))
    };
    if list.len() <= FEW {
        return list.iter().copied().min_by(|a, b| compare(rank(a), rank(b)));
    }
    let first = rng.random_range(0..list.len());
    let second = (first + rng.random_range(1..list.len())) % list.len();
    let pair = [list[first], list[second]];
    pair.into_iter().min_by(|a, b| compare(rank(a), rank(b)))
}

fn compare(a: (bool, f64), b: (bool, f64)) -> std::cmp::Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}
