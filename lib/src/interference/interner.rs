//! Small numbers for names, bounded in count.

use std::collections::BTreeMap;

use crate::time::Time;

/// A table that gives each name in use a number below its limit.
#[derive(Clone, Debug)]
pub(crate) struct Interner<K> {
    limit: usize,
    numbers: BTreeMap<K, u32>,
    entries: Vec<Entry<K>>,
}

#[derive(Clone, Debug)]
struct Entry<K> {
    name: K,
    holders: u32,
    used: Time,
}

/// A number that was given to a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Acquired {
    /// The number.
    pub(crate) number: u32,
    /// Whether it stood for another name before.
    pub(crate) recycled: bool,
}

impl<K: Clone + Ord> Interner<K> {
    /// A table of at most `limit` names.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, numbers: BTreeMap::new(), entries: Vec::new() }
    }

    /// The number of `name`, if it has one.
    pub(crate) fn find(&self, name: &K) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Holds a number for `name`, or gives `None` if all are held for other names.
    ///
    /// A number that nobody holds keeps its name until the number is needed for another.
    pub(crate) fn acquire(&mut self, now: Time, name: &K) -> Option<Acquired> {
        if let Some(number) = self.find(name) {
            self.hold(now, number);
            return Some(Acquired { number, recycled: false });
        }
        let recycled = self.entries.len() >= self.limit;
        let number = if recycled { self.least_used()? } else { self.entries.len() as u32 };
        let entry = Entry { name: name.clone(), holders: 1, used: now };
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

    /// Gives one hold of a number back.
    pub(crate) fn release(&mut self, now: Time, number: u32) {
        let entry = &mut self.entries[number as usize];
        entry.holders = entry.holders.saturating_sub(1);
        entry.used = entry.used.max(now);
    }

    /// How many names have a number.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn hold(&mut self, now: Time, number: u32) {
        let entry = &mut self.entries[number as usize];
        entry.holders += 1;
        entry.used = entry.used.max(now);
    }

    fn least_used(&self) -> Option<u32> {
        let free = self.entries.iter().enumerate().filter(|(_, entry)| entry.holders == 0);
        free.min_by_key(|(_, entry)| entry.used).map(|(at, _)| at as u32)
    }
}
