//! An index of the eligible workers by free capacity.
//!
//! Workers are kept in buckets by the size class of their free processors, memory and accelerators.
//! Bit masks of the non-empty buckets make the time of a search independent of the number of
//! workers. Only a few workers of a bucket are probed, and in the smallest bucket that may fit some
//! don't. A search may therefore miss a worker that fits, and is repeated later.

use rand::Rng;

use crate::{key, resources::Resources};

key! {
    /// The index of a worker in the scheduler's table.
    pub(super) struct WorkerSlot(u32);
}

impl WorkerSlot {
    pub(super) fn at(self) -> usize {
        self.0 as usize
    }
}

/// The order in which a search visits the buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fit {
    /// Best fit: the smallest sufficient free capacity first.
    Best,
    /// Worst fit: the largest free capacity first.
    Worst,
}

/// The number of size classes. There are four to each power of two, so that the members of a bucket
/// differ by less than a quarter.
const CLASSES: usize = 128;
/// The number of accelerator classes; the last one holds all larger counts.
const ACCELERATOR_CLASSES: usize = 16;
/// The largest number of workers of a bucket that a search looks at.
const MAX_PROBES: usize = 8;

/// The buckets of one accelerator class: a row for each class of processors, a column for each
/// class of memory. The masks tell which rows, and which columns of a row, aren't empty.
#[derive(Clone, Debug, Default)]
struct Grid {
    buckets: Vec<Vec<WorkerSlot>>,
    rows: Vec<u128>,
    occupied: u128,
}

/// The workers that are eligible for placement, by free capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    grids: Vec<Grid>,
    positions: Vec<Option<Position>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Cell {
    grid: usize,
    row: usize,
    column: usize,
}

#[derive(Clone, Copy, Debug)]
struct Position {
    cell: Cell,
    at: usize,
}

impl Index {
    /// Whether the worker is eligible for placement.
    pub(super) fn contains(&self, worker: WorkerSlot) -> bool {
        self.positions.get(worker.at()).is_some_and(Option::is_some)
    }

    /// Adds a worker, or moves it to the bucket of its new free capacity.
    pub(super) fn insert(&mut self, worker: WorkerSlot, free: &Resources) {
        let cell = Cell::of(free);
        if let Some(Some(position)) = self.positions.get(worker.at())
            && position.cell == cell
        {
            return;
        }
        self.remove(worker);
        if self.positions.len() <= worker.at() {
            self.positions.resize(worker.at() + 1, None);
        }
        if self.grids.len() <= cell.grid {
            self.grids.resize_with(cell.grid + 1, Grid::default);
        }
        let at = self.grids[cell.grid].push(cell, worker);
        self.positions[worker.at()] = Some(Position { cell, at });
    }

    /// Removes a worker.
    pub(super) fn remove(&mut self, worker: WorkerSlot) {
        let Some(position) = self.positions.get_mut(worker.at()).and_then(Option::take) else {
            return;
        };
        if let Some(moved) = self.grids[position.cell.grid].swap_remove(position)
            && let Some(entry) = &mut self.positions[moved.at()]
        {
            entry.at = position.at;
        }
    }

    /// Adds up to `limit` workers to `found` that satisfy `fits` and whose free capacity is at
    /// least in the size class of `requested`.
    pub(super) fn search(
        &self,
        requested: &Resources,
        fit: Fit,
        limit: usize,
        rng: &mut impl Rng,
        fits: impl Fn(WorkerSlot) -> bool,
        found: &mut Vec<WorkerSlot>,
    ) {
        let min_cell = Cell::of(requested);
        for grid in self.grids.iter().skip(min_cell.grid) {
            let mut rows = grid.occupied & (u128::MAX << min_cell.row);
            while let Some(row) = take_bit(&mut rows, fit) {
                let mut columns = grid.rows[row] & (u128::MAX << min_cell.column);
                while let Some(column) = take_bit(&mut columns, fit) {
                    let bucket = &grid.buckets[row * CLASSES + column];
                    probe(bucket, limit, rng, &fits, found);
                    if found.len() >= limit {
                        return;
                    }
                }
            }
        }
    }
}

impl Cell {
    fn of(size: &Resources) -> Self {
        Self {
            grid: (size.accelerators as usize).min(ACCELERATOR_CLASSES - 1),
            row: class(size.millicores),
            column: class(size.memory_mib),
        }
    }
}

impl Grid {
    fn push(&mut self, cell: Cell, worker: WorkerSlot) -> usize {
        if self.buckets.is_empty() {
            self.buckets.resize_with(CLASSES * CLASSES, Vec::new);
            self.rows.resize(CLASSES, 0);
        }
        let bucket = &mut self.buckets[cell.row * CLASSES + cell.column];
        bucket.push(worker);
        let at = bucket.len() - 1;
        self.rows[cell.row] |= 1 << cell.column;
        self.occupied |= 1 << cell.row;
        at
    }

    /// Removes a worker and returns the one that was moved to its position.
    fn swap_remove(&mut self, position: Position) -> Option<WorkerSlot> {
        let Cell { row, column, .. } = position.cell;
        let bucket = &mut self.buckets[row * CLASSES + column];
        bucket.swap_remove(position.at);
        let moved = bucket.get(position.at).copied();
        if bucket.is_empty() {
            self.rows[row] &= !(1 << column);
            if self.rows[row] == 0 {
                self.occupied &= !(1 << row);
            }
        }
        moved
    }
}

fn probe(
    bucket: &[WorkerSlot],
    limit: usize,
    rng: &mut impl Rng,
    fits: impl Fn(WorkerSlot) -> bool,
    found: &mut Vec<WorkerSlot>,
) {
    let start = rng.random_range(0..bucket.len());
    for step in 0..bucket.len().min(MAX_PROBES) {
        let worker = bucket[(start + step) % bucket.len()];
        if fits(worker) {
            found.push(worker);
        }
        if found.len() >= limit {
            return;
        }
    }
}

/// Clears and returns the lowest or the highest bit of a mask.
fn take_bit(mask: &mut u128, fit: Fit) -> Option<usize> {
    if *mask == 0 {
        return None;
    }
    let bit = match fit {
        Fit::Best => mask.trailing_zeros(),
        Fit::Worst => u128::BITS - 1 - mask.leading_zeros(),
    };
    *mask &= !(1 << bit);
    Some(bit as usize)
}

/// The size class of an amount: exact below 4, then four classes to each power of two.
fn class(amount: u64) -> usize {
    if amount < 4 {
        return amount as usize;
    }
    let exponent = 63 - amount.leading_zeros() as usize;
    let quarter = (amount >> (exponent - 2)) as usize & 3;
    ((exponent - 1) * 4 + quarter).min(CLASSES - 1)
}
