//! Amounts of processors, memory and accelerators.

/// An amount of the resources that workers have and tasks request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    /// Thousandths of a processor.
    pub millicores: u64,
    /// Mebibytes of memory.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self { millicores: 0, memory_mib: 0, accelerators: 0 };

    /// The most that one worker may have. It leaves room for sums over all workers.
    pub const LARGEST_WORKER: Self =
        Self { millicores: 100_000_000, memory_mib: 1 << 30, accelerators: 4_096 };

    /// Whether `self` is at least `requested` in every dimension.
    pub fn fits(&self, requested: &Self) -> bool {
        self.millicores >= requested.millicores
            && self.memory_mib >= requested.memory_mib
            && self.accelerators >= requested.accelerators
    }

    /// The sum, or `None` on overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// The difference, or `None` if `other` is larger in any dimension.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// The difference, saturating at zero in each dimension.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The sum, saturating in each dimension.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The larger amount in each dimension.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The percentage of `requested` that `self` covers in the scarcest dimension; may exceed 100.
    pub fn covered_percent(&self, requested: &Self) -> u64 {
        let percent = |has: u64, requested: u64| {
            has.saturating_mul(100).checked_div(requested).unwrap_or(u64::MAX)
        };
        percent(self.millicores, requested.millicores)
            .min(percent(self.memory_mib, requested.memory_mib))
            .min(percent(self.accelerators.into(), requested.accelerators.into()))
    }

    /// The dominant share: the largest fraction of `total` that `self` uses in any dimension.
    ///
    /// The share is infinite if `self` uses a dimension of which `total` has nothing.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |used: u64, total: u64| match (used, total) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (used, total) => used as f64 / total as f64,
        };
        share(self.millicores, total.millicores)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators.into(), total.accelerators.into()))
    }
}
