//! Interning of names as small numbers, with a bound on their count.

use std::collections::BTreeMap;

use crate::time::Time;

/// Assigns each name in use a number below `limit`.
#[derive(Clone, Debug)]
pub(crate) struct Interner<K> {
    limit: usize,
    numbers: BTreeMap<K, u32>,
    entries: Vec<Entry<K>>,
}

#[derive(Clone, Debug)]
struct Entry<K> {
    name: K,
    references: u32,
    last_used: Time,
}

/// A number assigned to a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Acquired {
    /// The number.
    pub(crate) number: u32,
    /// Whether the number was previously assigned to another name.
    pub(crate) recycled: bool,
}

impl<K: Clone + Ord> Interner<K> {
    /// Creates an interner for at most `limit` names.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, numbers: BTreeMap::new(), entries: Vec::new() }
    }

    /// The number of `name`, if it has one.
    pub(crate) fn find(&self, name: &K) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Takes a reference to the number of `name`. Returns `None` if all numbers are referenced for
    /// other names.
    ///
    /// A number without references keeps its name until it is reassigned.
    pub(crate) fn acquire(&mut self, now: Time, name: &K) -> Option<Acquired> {
        if let Some(number) = self.find(name) {
            self.add_reference(now, number);
            return Some(Acquired { number, recycled: false });
        }
        let recycled = self.entries.len() >= self.limit;
        let number = if recycled { self.least_recently_used()? } else { self.entries.len() as u32 };
        let entry = Entry { name: name.clone(), references: 1, last_used: now };
        match self.entries.get_mut(number as usize) {
            Some(old) => {
                self.numbers.remove(&old.name);
                *old = entry;
            }
            None => self.entries.push(entry),
        }
        self.numbers.insert(name.clone(), number);
        Some(Acquired { number, recycled })
    }

    /// Releases one reference to a number.
    pub(crate) fn release(&mut self, now: Time, number: u32) {
        let entry = &mut self.entries[number as usize];
        entry.references = entry.references.saturating_sub(1);
        entry.last_used = entry.last_used.max(now);
    }

    /// The number of interned names.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn add_reference(&mut self, now: Time, number: u32) {
        let entry = &mut self.entries[number as usize];
        entry.references += 1;
        entry.last_used = entry.last_used.max(now);
    }

    fn least_recently_used(&self) -> Option<u32> {
        let free = self.entries.iter().enumerate().filter(|(_, entry)| entry.references == 0);
        free.min_by_key(|(_, entry)| entry.last_used).map(|(at, _)| at as u32)
    }
}
