//! What is run: whose workers, how many, for how long.

use hickorylink_lib::{policy::Objective, resources::Resources};

/// Whose sizes and objective an experiment takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize)]
pub enum User {
    /// Kōwhai Fold Works: three data centres, small workers, latency first.
    Kowhai,
    /// Dermaga Papan Bersama: four data centres, large workers, throughput first.
    Dermaga,
}

/// What an experiment runs.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Whose sizes.
    pub user: User,
    /// Workers in all data centres together.
    pub workers: usize,
    /// How long it runs, in seconds of the fake's time.
    pub seconds: u64,
    /// Seconds at the start, while the workers fill, that count in no figure.
    pub warmup: u64,
}

impl User {
    /// How many data centres it has.
    pub fn centres(self) -> usize {
        match self {
            Self::Kowhai => 3,
            Self::Dermaga => 4,
        }
    }

    /// What a worker has.
    pub(crate) fn worker(self) -> Resources {
        let (cores, memory) = match self {
            Self::Kowhai => (16, 64),
            Self::Dermaga => (32, 128),
        };
        Resources { millicores: cores * 1_000, memory_mib: memory * 1_024, accelerators: 0 }
    }

    /// What a replica of a service holds.
    pub(crate) fn replica(self) -> Resources {
        let (cores, memory) = match self {
            Self::Kowhai => (4, 12),
            Self::Dermaga => (6, 20),
        };
        Resources { millicores: cores * 1_000, memory_mib: memory * 1_024, accelerators: 0 }
    }

    /// What its plans weigh decisions by.
    pub(crate) fn objective(self) -> Objective {
        match self {
            Self::Kowhai => Objective::Latency,
            Self::Dermaga => Objective::Throughput,
        }
    }

    /// Its services.
    pub(crate) fn services(self) -> [&'static str; SERVICES] {
        match self {
            Self::Kowhai => ["fold-plan", "crease-preview", "pattern-watch", "counter-sync"],
            Self::Dermaga => ["plaque-verify", "settlement-view", "ledger-watch", "plank-map"],
        }
    }
}

/// Services of a user.
pub(crate) const SERVICES: usize = 4;
/// Kinds of batch tasks of a user.
pub(crate) const KINDS: usize = 16;
/// Replicas on a worker, each of another service.
pub(crate) const REPLICAS: usize = 2;
