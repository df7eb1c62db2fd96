//! Processors, memory and accelerators.

/// An amount of what a worker has and a task asks for.
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
    /// Nothing at all.
    pub const ZERO: Self = Self { millicores: 0, memory_mib: 0, accelerators: 0 };

    /// Whether `self` has room for `asked`.
    pub fn fits(&self, asked: &Self) -> bool {
        self.millicores >= asked.millicores
            && self.memory_mib >= asked.memory_mib
            && self.accelerators >= asked.accelerators
    }

    /// The sum, or `None` if it can't be represented.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// What is left of `self` without `other`, or `None` if it doesn't fit.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// What is left of `self` without `other`, no less than zero in each dimension.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The sum, at most the largest that can be represented.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The largest part of `whole` that `self` takes in any dimension: its dominant share.
    ///
    /// A dimension that `whole` lacks counts as infinite if `self` asks for it.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let part = |used: u64, all: u64| match (used, all) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (used, all) => used as f64 / all as f64,
        };
        part(self.millicores, whole.millicores)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators.into(), whole.accelerators.into()))
    }
}
