//! The parameters of an experiment.

use hickorylink_lib::{policy::Objective, resources::Resources};

/// The user whose workers, services and objective an experiment models.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize)]
pub enum User {
    /// Kōwhai Fold Works: three data centres, small workers, latency objective
    Kowhai,
    /// Dermaga Papan Bersama: four data centres, large workers, throughput objective
    Dermaga,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The modelled user.
    pub user: User,
    /// Workers in all data centres together.
    pub workers: usize,
    /// The simulated time, in seconds.
    pub seconds: u64,
    /// The time at the start, while the workers fill up, that the measurements exclude, in seconds.
    pub warmup: u64,
}

impl User {
    /// The number of its data centres.
    pub fn centres(self) -> usize {
        match self {
            Self::Kowhai => 3,
            Self::Dermaga => 4,
        }
    }

    /// The resources of one of its workers.
    pub(crate) fn worker(self) -> Resources {
        let (cores, memory) = match self {
            Self::Kowhai => (16, 64),
            Self::Dermaga => (32, 128),
        };
        Resources { millicores: cores * 1_000, memory_mib: memory * 1_024, accelerators: 0 }
    }

    /// The size of a replica of one of its services.
    pub(crate) fn replica(self) -> Resources {
        let (cores, memory) = match self {
            Self::Kowhai => (4, 12),
            Self::Dermaga => (6, 20),
        };
        Resources { millicores: cores * 1_000, memory_mib: memory * 1_024, accelerators: 0 }
    }

    /// The objective of its plans.
    pub(crate) fn objective(self) -> Objective {
        match self {
            Self::Kowhai => Objective::Latency,
            Self::Dermaga => Objective::Throughput,
        }
    }

    /// The names of its services.
    pub(crate) fn services(self) -> [&'static str; SERVICES] {
        match self {
            Self::Kowhai => ["fold-plan", "crease-preview", "pattern-watch", "counter-sync"],
            Self::Dermaga => ["plaque-verify", "settlement-view", "ledger-watch", "plank-map"],
        }
    }
}

/// The number of services of a user.
pub(crate) const SERVICES: usize = 4;
/// The number of kinds of batch tasks of a user.
pub(crate) const KINDS: usize = 16;
/// The number of replicas on a worker, each of a different service.
pub(crate) const REPLICAS: usize = 2;
