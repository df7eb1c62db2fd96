//! Tail latency under load and faults, compared with random target selection in simulated time.
//!
//! Service times are 5 ms plus an exponentially distributed time with a mean of 5 ms. The limits
//! are ratios of the 99th percentiles under the two policies with the same load.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hickorylink_lib::{
    ids::RequestId,
    router::{
        Config,
        port::{AttemptId, Effect, Event},
    },
    time::Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Harness, SEED, STORE, address, answered, config, request};

const TARGETS: usize = 48;
const SLOTS_PER_TARGET: usize = 8;
const REQUESTS: u64 = 60_000;
const MEAN_SERVICE_SECONDS: f64 = 0.010;
const TIMEOUT: Duration = Duration::from_secs(5);

/// The load and the behaviour of the workers.
#[derive(Clone, Copy)]
struct Load {
    /// The fraction of all slots that is busy on average.
    busy: f64,
    /// The number of slow workers, and the factor by which they are slower.
    slow: (usize, f64),
    /// One request in this many takes twenty times as long, on any worker.
    stuck: Option<u32>,
}

impl Load {
    /// The service time of an attempt at a target.
    fn draw(&self, target: usize, rng: &mut ChaCha8Rng) -> Duration {
        let drawn = MEAN_SERVICE_SECONDS / 2.0 * (1.0 - (1.0 - rng.random::<f64>()).ln());
        let slower = if target < self.slow.0 { self.slow.1 } else { 1.0 };
        let stuck = self.stuck.is_some_and(|one_in| rng.random_ratio(1, one_in));
        Duration::from_secs_f64(drawn * slower * if stuck { 20.0 } else { 1.0 })
    }

    /// The time between two requests, exponentially distributed.
    fn gap(&self, rng: &mut ChaCha8Rng) -> Duration {
        let rate = self.busy * (TARGETS * SLOTS_PER_TARGET) as f64 / MEAN_SERVICE_SECONDS;
        Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate)
    }
}

/// The 99th percentile of the latencies, without the first third as warm-up.
fn p99(mut latencies: Vec<Duration>) -> Duration {
    latencies.drain(..latencies.len() / 3);
    latencies.sort();
    latencies[latencies.len() * 99 / 100]
}

/// A simulation with the router.
struct Routed {
    harness: Harness,
    /// The number of effects that were handled.
    seen: usize,
    rng: ChaCha8Rng,
    load: Load,
    targets: BTreeMap<String, usize>,
    ends: BTreeSet<(Time, AttemptId)>,
    asked: BTreeMap<RequestId, Time>,
    latencies: Vec<Duration>,
}

impl Routed {
    fn run(load: Load, settings: Config) -> Duration {
        let mut sim = Self {
            harness: Harness::with(settings, TARGETS),
            seen: 0,
            rng: ChaCha8Rng::seed_from_u64(SEED),
            load,
            targets: (0..TARGETS).map(|at| (address(at), at)).collect(),
            ends: BTreeSet::new(),
            asked: BTreeMap::new(),
            latencies: Vec::new(),
        };
        for id in 1..=REQUESTS {
            let at = sim.harness.now + load.gap(&mut sim.rng);
            sim.run_until(at);
            sim.asked.insert(RequestId(id), at);
            sim.harness.ask(request(id, STORE.name, true, at + TIMEOUT));
            sim.track();
        }
        sim.run_until(sim.harness.now + TIMEOUT * 2);
        assert_eq!(sim.latencies.len() as u64, REQUESTS, "every request is answered");
        p99(sim.latencies)
    }

    fn run_until(&mut self, end: Time) {
        loop {
            let end_of_attempt = self.ends.first().map(|(at, _)| *at);
            let timer = self.harness.router.next_deadline();
            let next = [end_of_attempt, timer].into_iter().flatten().min().filter(|at| *at <= end);
            let Some(at) = next else { break };
            self.harness.now = self.harness.now.max(at);
            match self.ends.first().copied().filter(|(end, _)| *end <= at) {
                Some(done) => {
                    self.ends.remove(&done);
                    self.harness.end(done.1, answered(done.1.request.0));
                }
                None => self.harness.handle(Event::Timer),
            }
            self.track();
        }
        self.harness.now = end;
    }

    fn track(&mut self) {
        for effect in &self.harness.effects[self.seen..] {
            match effect {
                Effect::Send { attempt, target, .. } => {
                    let took = self.load.draw(self.targets[target], &mut self.rng);
                    self.ends.insert((self.harness.now + took, *attempt));
                }
                Effect::Answer { request, .. } => {
                    self.latencies.push(self.harness.now.since(self.asked[request]));
                }
                Effect::Claim(_)
                | Effect::Record { .. }
                | Effect::Abandon { .. }
                | Effect::CloseIdle { .. }
                | Effect::Drained => {}
            }
        }
        self.seen = self.harness.effects.len();
    }
}

/// Simulates the load with random selection among the targets with a free slot. Returns the 99th
/// percentile.
fn random(load: Load) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut now = Time::default();
    let mut in_flight = [0; TARGETS];
    let mut ends: BTreeSet<(Time, u64, usize)> = BTreeSet::new();
    let mut latencies = Vec::new();
    for id in 1..=REQUESTS {
        now = now + load.gap(&mut rng);
        while let Some(done) = ends.first().copied().filter(|(end, _, _)| *end <= now) {
            ends.remove(&done);
            in_flight[done.2] -= 1;
        }
        let free: Vec<_> = (0..TARGETS).filter(|at| in_flight[*at] < SLOTS_PER_TARGET).collect();
        let target = free[rng.random_range(0..free.len())];
        in_flight[target] += 1;
        let took = load.draw(target, &mut rng);
        ends.insert((now + took, id, target));
        latencies.push(took);
    }
    p99(latencies)
}

fn unhedged() -> Config {
    let mut settings = config();
    settings.hedge_after = u64::MAX;
    settings
}

#[test]
fn tail_latency_is_bounded_under_load_and_faults() {
    struct Case {
        name: &'static str,
        load: Load,
        settings: Config,
        /// The maximum ratio to the 99th percentile under random selection.
        limit: f64,
    }
    let even = Load { busy: 0.6, slow: (0, 1.0), stuck: None };
    let slow = Load { busy: 0.5, slow: (6, 10.0), stuck: None };
    let stuck = Load { busy: 0.5, slow: (0, 1.0), stuck: Some(50) };
    let cases = [
        Case { name: "even load", load: even, settings: unhedged(), limit: 1.05 },
        Case { name: "six slow workers", load: slow, settings: unhedged(), limit: 0.4 },
        Case { name: "one request in 50 stuck", load: stuck, settings: config(), limit: 0.25 },
    ];
    for case in cases {
        let (routed, drawn) = (Routed::run(case.load, case.settings), random(case.load));
        let ratio = routed.as_secs_f64() / drawn.as_secs_f64();
        println!("{}: p99 {routed:?}, at random {drawn:?}, ratio {ratio:.3}", case.name);
        assert!(ratio <= case.limit, "{}: {ratio:.3}", case.name);
    }
}
