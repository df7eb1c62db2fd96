//! Estimates of the use and the run time of each kind of task, from samples and completions.
//!
//! Estimates guide the choice among workers. Allocations always go by the declared size.

use std::time::Duration;

use crate::resources::Resources;

/// The weight of a new observation in the moving average.
const GAIN: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Used parts of the declared processors and memory; none before the first sample.
    use_ratio: Option<(f64, f64)>,
    run_time: Option<f64>,
}

/// Estimates by the number of the kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    kinds: Vec<Estimate>,
}

impl Estimates {
    /// Updates a kind's estimate with a sample of an attempt and its declared size.
    pub(super) fn sampled(&mut self, kind: u32, declared: &Resources, used: &Resources) {
        let part = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        let observed = (
            part(used.millicores, declared.millicores),
            part(used.memory_mib, declared.memory_mib),
        );
        let estimate = self.entry(kind);
        let (cpu, memory) = estimate.use_ratio.unwrap_or(observed);
        let memory = match observed.1 > memory {
            // Peak memory is likely to be needed again, so that a rise counts in full.
            true => observed.1,
            false => memory + GAIN * (observed.1 - memory),
        };
        estimate.use_ratio = Some((cpu + GAIN * (observed.0 - cpu), memory));
    }

    /// Updates a kind's estimate with the run time of a completed attempt.
    pub(super) fn completed(&mut self, kind: u32, ran: Duration) {
        let observed = ran.as_secs_f64();
        let estimate = self.entry(kind);
        let known = estimate.run_time.unwrap_or(observed);
        estimate.run_time = Some(known + GAIN * (observed - known));
    }

    /// The expected use of an attempt of a kind with a declared size.
    pub(super) fn expected(&self, kind: u32, declared: &Resources) -> Resources {
        let known = self.kinds.get(kind as usize).and_then(|estimate| estimate.use_ratio);
        let Some((cpu, memory)) = known else { return *declared };
        Resources {
            millicores: (declared.millicores as f64 * cpu) as u64,
            memory_mib: (declared.memory_mib as f64 * memory) as u64,
            accelerators: declared.accelerators,
        }
    }

    /// The expected run time of an attempt of a kind.
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
