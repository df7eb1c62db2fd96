//! Whether the consensus group has as many live voters as it should have.

use std::time::Duration;

use crate::{
    consensus::log::Members, directory::port::InstanceInfo, instance::port::VoterCounts, time::Time,
};

/// How long live voters may be missing beside a standby: a silent voter is replaced after half of
/// this time.
const OVERDUE_AFTER: Duration = Duration::from_secs(60);

/// Counts the voters, and notices when a replacement is overdue.
#[derive(Clone, Debug, Default)]
pub struct VoterWatch {
    published: VoterCounts,
    /// Since when live voters are missing beside a standby.
    missing_since: Option<Time>,
}

impl VoterWatch {
    /// The counts, if they differ from those returned last.
    pub fn update(
        &mut self,
        now: Time,
        wanted: usize,
        members: &Members,
        alive: &[InstanceInfo],
    ) -> Option<VoterCounts> {
        let staying = |info: &&InstanceInfo| info.disk && !info.draining;
        let count = |ids: &[_]| {
            let live = alive.iter().filter(staying);
            live.filter(|info| ids.contains(&info.instance)).count()
        };
        let (live, standbys) = (count(&members.voters), count(&members.learners));
        let missing = live < wanted && standbys > 0;
        self.missing_since = missing.then(|| self.missing_since.unwrap_or(now));
        let overdue = self.missing_since.is_some_and(|since| now.since(since) >= OVERDUE_AFTER);
        let voters = members.voters.len();
        let counts = VoterCounts { voters, live, wanted, standbys, overdue };
        let changed = counts != self.published;
        self.published = counts;
        changed.then_some(counts)
    }
}
