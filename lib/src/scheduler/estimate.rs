//! What tasks of a kind really use and how long they really run, as samples and ends show.
//!
//! Estimates guide the choice among workers. Room is always held by the declared size.

use std::time::Duration;

use crate::resources::Resources;

/// The weight of a new observation.
const GAIN: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// The used part of the declared processors and memory; nothing before the first sample.
    use_ratio: Option<(f64, f64)>,
    run_time: Option<f64>,
}

/// Estimates by the number of the kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    kinds: Vec<Estimate>,
}

impl Estimates {
    /// Takes in what a try of a kind with a declared size used.
    pub(super) fn sampled(&mut self, kind: u32, declared: &Resources, used: &Resources) {
        let part = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        let seen = (
            part(used.millicores, declared.millicores),
            part(used.memory_mib, declared.memory_mib),
        );
        let estimate = self.entry(kind);
        let (cpu, memory) = estimate.use_ratio.unwrap_or(seen);
        let memory = match seen.1 > memory {
            // Memory that was needed once will be needed again.
            true => seen.1,
            false => memory + GAIN * (seen.1 - memory),
        };
        estimate.use_ratio = Some((cpu + GAIN * (seen.0 - cpu), memory));
    }

    /// Takes in how long a try of a kind ran to its end.
    pub(super) fn completed(&mut self, kind: u32, ran: Duration) {
        let seen = ran.as_secs_f64();
        let estimate = self.entry(kind);
        let known = estimate.run_time.unwrap_or(seen);
        estimate.run_time = Some(known + GAIN * (seen - known));
    }

    /// What a try of a kind with a declared size is expected to use.
    pub(super) fn expected(&self, kind: u32, declared: &Resources) -> Resources {
        let known = self.kinds.get(kind as usize).and_then(|estimate| estimate.use_ratio);
        let Some((cpu, memory)) = known else { return *declared };
        Resources {
            millicores: (declared.millicores as f64 * cpu) as u64,
            memory_mib: (declared.memory_mib as f64 * memory) as u64,
            accelerators: declared.accelerators,
        }
    }

    /// How long a try of a kind is expected to run.
    pub(super) fn run_time(&self, kind: u32, declared: Duration) -> Duration {
        let known = self.kinds.get(kind as usize).and_then(|estimate| estimate.run_time);
        known.map_or(declared, Duration::from_secs_f64)
    }

    fn entry(&mut self, kind: u32) -> &mut Estimate {
        let at = kind as usize;
        if self.kinds.len() <= at {
            self.kinds.resize(at + 1, Estimate::default());
        }
        &mut self.kinds[at]
    }
}
