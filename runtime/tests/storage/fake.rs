//! An in-memory disk that simulates power loss, a full disk, failed syncs and flipped bits.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::{self, ErrorKind},
    rc::Rc,
};

use hickorylink_runtime::storage::Disk;

/// The unit that a real disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// A disk. Clones share the same contents.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeDisk {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    files: Vec<File>,
    /// The file names as the process sees them, with the positions of their files.
    names: BTreeMap<String, usize>,
    /// The names at the last sync of the folder.
    durable_names: BTreeMap<String, usize>,
    /// The names after each change since then.
    unsynced_names: Vec<BTreeMap<String, usize>>,
    locked: bool,
    /// The number of modifying operations so far.
    operations: u64,
    syncs: u64,
    fault: Option<Fault>,
}

#[derive(Clone, Debug, Default)]
struct File {
    data: Vec<u8>,
    synced: Vec<u8>,
}

/// A simulated fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The power fails at this operation; nothing works until [`FakeDisk::reboot`].
    PowerLossAt(u64),
    /// The disk is full once all files together have this many bytes.
    FullAfter(usize),
    /// Syncing a file fails once, at this operation.
    SyncFailureAt(u64),
}

/// A pseudorandom generator that chooses the effects of a crash.
pub(crate) struct Rng(pub(crate) u64);

impl Rng {
    /// Returns a number below `bound`, which must be positive.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) as usize % bound
    }
}

impl FakeDisk {
    pub(crate) fn set_fault(&self, fault: Option<Fault>) {
        self.inner.borrow_mut().fault = fault;
    }

    pub(crate) fn operations(&self) -> u64 {
        self.inner.borrow().operations
    }

    pub(crate) fn syncs(&self) -> u64 {
        self.inner.borrow().syncs
    }

    /// Simulates the end of the process, which releases the lock; the machine keeps running.
    pub(crate) fn exit_process(&self) {
        self.inner.borrow_mut().locked = false;
    }

    /// Simulates a restart of the machine. Some of the unsynced name changes are lost. Each file
    /// keeps its synced bytes and a part of the bytes appended later, in which sectors may be zero.
    pub(crate) fn reboot(&self, rng: &mut Rng) {
        let mut inner = self.inner.borrow_mut();
        let Inner { files, unsynced_names, durable_names, .. } = &mut *inner;
        let kept = rng.below(unsynced_names.len() + 1);
        let names = unsynced_names[..kept].last().unwrap_or(durable_names).clone();
        for file in files.iter_mut() {
            file.data = file.after_crash(rng);
            file.synced = file.data.clone();
        }
        inner.durable_names = names.clone();
        inner.names = names;
        inner.unsynced_names.clear();
        inner.locked = false;
        inner.fault = None;
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.inner.borrow().names.keys().cloned().collect()
    }

    /// Flips a bit of a file.
    pub(crate) fn flip_bit(&self, name: &str, bit: usize) {
        let mut inner = self.inner.borrow_mut();
        let file = inner.names[name];
        let data = &mut inner.files[file].data;
        let bit = bit % (data.len() * 8);
        data[bit / 8] ^= 1 << (bit % 8);
    }

    /// Truncates a file to `len` bytes, or removes it without a length.
    pub(crate) fn truncate_or_remove(&self, name: &str, len: Option<usize>) {
        let mut inner = self.inner.borrow_mut();
        match len {
            Some(len) => {
                let file = inner.names[name];
                inner.files[file].data.truncate(len);
            }
            None => drop(inner.names.remove(name)),
        }
    }

    pub(crate) fn len(&self, name: &str) -> usize {
        let inner = self.inner.borrow();
        inner.files[inner.names[name]].data.len()
    }

    /// Appends bytes to a file without the store.
    pub(crate) fn append_raw(&self, name: &str, bytes: &[u8]) {
        let mut inner = self.inner.borrow_mut();
        let file = inner.names[name];
        inner.files[file].data.extend(bytes);
    }
}

impl File {
    fn after_crash(&self, rng: &mut Rng) -> Vec<u8> {
        if !self.data.starts_with(&self.synced) {
            // The file was truncated; the truncation is either durable or lost.
            return [&self.data, &self.synced][rng.below(2)].clone();
        }
        let added = self.data.len() - self.synced.len();
        let mut data = self.data[..self.synced.len() + rng.below(added + 1)].to_vec();
        let mut at = self.synced.len().next_multiple_of(SECTOR_BYTES);
        while at < data.len() {
            let end = data.len().min(at + SECTOR_BYTES);
            if rng.below(4) == 0 {
                data[at..end].fill(0);
            }
            at = end;
        }
        data
    }
}

impl Inner {
    /// Counts a modifying operation; fails if the power is off.
    fn count_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.fault {
            Some(Fault::PowerLossAt(at)) if self.operations >= at => {
                Err(io::Error::other("simulated power loss"))
            }
            Some(Fault::PowerLossAt(_) | Fault::FullAfter(_) | Fault::SyncFailureAt(_)) | None => {
                Ok(())
            }
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let at = *self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[at])
    }

    fn record_names(&mut self) {
        self.unsynced_names.push(self.names.clone());
    }
}

impl Disk for FakeDisk {
    fn lock(&mut self) -> io::Result<bool> {
        let mut inner = self.inner.borrow_mut();
        Ok(!std::mem::replace(&mut inner.locked, true))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.inner.borrow_mut().file(name)?.data.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        let powered = inner.count_operation();
        if !inner.names.contains_key(name) {
            let at = inner.files.len();
            inner.files.push(File::default());
            inner.names.insert(name.to_owned(), at);
            inner.record_names();
        }
        let used: usize = inner.names.values().map(|at| inner.files[*at].data.len()).sum();
        let room = match inner.fault {
            Some(Fault::FullAfter(size)) => size.saturating_sub(used),
            Some(Fault::PowerLossAt(_) | Fault::SyncFailureAt(_)) | None => bytes.len(),
        };
        let written = &bytes[..room.min(bytes.len())];
        inner.file(name)?.data.extend(written);
        powered?;
        match written.len() == bytes.len() {
            true => Ok(()),
            false => Err(ErrorKind::StorageFull.into()),
        }
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.count_operation()?;
        inner.file(name)?.data.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.count_operation()?;
        if matches!(inner.fault, Some(Fault::SyncFailureAt(at)) if inner.operations == at) {
            return Err(io::Error::other("simulated sync failure"));
        }
        inner.syncs += 1;
        let file = inner.file(name)?;
        file.synced = file.data.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.count_operation()?;
        let file = inner.names.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.names.insert(to.to_owned(), file);
        inner.record_names();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.count_operation()?;
        inner.names.remove(name).ok_or(ErrorKind::NotFound)?;
        inner.record_names();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.count_operation()?;
        inner.durable_names = inner.names.clone();
        inner.unsynced_names.clear();
        Ok(())
    }
}
