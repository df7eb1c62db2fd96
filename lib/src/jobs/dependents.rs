//! The steps of a job by the step that they wait for.

use std::sync::OnceLock;

use crate::jobs::model::JobSpec;

/// For each step of a job, the steps that come after it. They are computed from the job when they are first
/// needed, and compare as equal.
#[derive(Clone, Debug, Default)]
pub struct Dependents(OnceLock<Box<[Box<[u16]>]>>);

impl PartialEq for Dependents {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Dependents {}

impl Dependents {
    /// The steps that come after one step.
    pub(super) fn of(&self, spec: &JobSpec, step: u16) -> &[u16] {
        let all = self.0.get_or_init(|| collect(spec));
        all.get(usize::from(step)).map_or(&[], |steps| steps)
    }
}

fn collect(spec: &JobSpec) -> Box<[Box<[u16]>]> {
    let mut all = vec![Vec::new(); spec.steps.len()];
    for (at, step) in (0..).zip(&spec.steps) {
        for before in &step.after {
            if let Some(steps) = all.get_mut(usize::from(*before))
                && steps.last() != Some(&at)
            {
                steps.push(at);
            }
        }
    }
    all.into_iter().map(Vec::into_boxed_slice).collect()
}
