//! A disk in memory that crashes, fills up, fails to sync and flips bits.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::{self, ErrorKind},
    rc::Rc,
};

use hickorylink_runtime::storage::Disk;

/// What a real disk writes whole or not at all, in bytes.
const SECTOR: usize = 512;

/// A disk; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeDisk {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    files: Vec<File>,
    /// The names as the process sees them.
    names: BTreeMap<String, usize>,
    /// The names that last, and what was done to the names since they were synced.
    lasting: BTreeMap<String, usize>,
    since: Vec<BTreeMap<String, usize>>,
    locked: bool,
    /// Operations that change something, so far.
    operations: u64,
    syncs: u64,
    fault: Option<Fault>,
}

#[derive(Clone, Debug, Default)]
struct File {
    data: Vec<u8>,
    synced: Vec<u8>,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The power goes at this operation: nothing works until [`FakeDisk::restart`].
    PowerAt(u64),
    /// All files together can't grow past so many bytes.
    Full(usize),
    /// Syncing a file fails at this operation, once.
    SyncAt(u64),
}

/// Numbers that say how a crash goes.
pub(crate) struct Dice(pub(crate) u64);

impl Dice {
    /// A number below `bound`, which is above 0.
    pub(crate) fn roll(&mut self, bound: usize) -> usize {
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

    /// The process ends without a crash of the machine.
    pub(crate) fn stop(&self) {
        self.inner.borrow_mut().locked = false;
    }

    /// The machine comes back: names are those after some of the operations since they were
    /// synced; a file has its synced bytes and part of what was added since, where sectors may
    /// be missing.
    pub(crate) fn restart(&self, dice: &mut Dice) {
        let mut inner = self.inner.borrow_mut();
        let Inner { files, since, lasting, .. } = &mut *inner;
        let kept = dice.roll(since.len() + 1);
        let names = since[..kept].last().unwrap_or(lasting).clone();
        for file in files.iter_mut() {
            file.data = file.survives(dice);
            file.synced = file.data.clone();
        }
        inner.lasting = names.clone();
        inner.names = names;
        inner.since.clear();
        inner.locked = false;
        inner.fault = None;
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.inner.borrow().names.keys().cloned().collect()
    }

    /// Flips a bit of a file.
    pub(crate) fn flip(&self, name: &str, bit: usize) {
        let mut inner = self.inner.borrow_mut();
        let file = inner.names[name];
        let data = &mut inner.files[file].data;
        let bit = bit % (data.len() * 8);
        data[bit / 8] ^= 1 << (bit % 8);
    }

    /// Cuts a file to `len` bytes, or removes it.
    pub(crate) fn lose(&self, name: &str, len: Option<usize>) {
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

    /// Adds bytes to a file behind the store's back.
    pub(crate) fn add(&self, name: &str, bytes: &[u8]) {
        let mut inner = self.inner.borrow_mut();
        let file = inner.names[name];
        inner.files[file].data.extend(bytes);
    }
}

impl File {
    fn survives(&self, dice: &mut Dice) -> Vec<u8> {
        if !self.data.starts_with(&self.synced) {
            // It was cut: either that lasts or it doesn't.
            return [&self.data, &self.synced][dice.roll(2)].clone();
        }
        let added = self.data.len() - self.synced.len();
        let mut data = self.data[..self.synced.len() + dice.roll(added + 1)].to_vec();
        let mut at = self.synced.len().next_multiple_of(SECTOR);
        while at < data.len() {
            let end = data.len().min(at + SECTOR);
            if dice.roll(4) == 0 {
                data[at..end].fill(0);
            }
            at = end;
        }
        data
    }
}

impl Inner {
    /// Counts an operation that changes something.
    fn operate(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.fault {
            Some(Fault::PowerAt(at)) if self.operations >= at => Err(io::Error::other("no power")),
            Some(Fault::PowerAt(_) | Fault::Full(_) | Fault::SyncAt(_)) | None => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let at = *self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[at])
    }

    fn renamed(&mut self) {
        self.since.push(self.names.clone());
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
        let power = inner.operate();
        if !inner.names.contains_key(name) {
            let at = inner.files.len();
            inner.files.push(File::default());
            inner.names.insert(name.to_owned(), at);
            inner.renamed();
        }
        let used: usize = inner.names.values().map(|at| inner.files[*at].data.len()).sum();
        let room = match inner.fault {
            Some(Fault::Full(size)) => size.saturating_sub(used),
            Some(Fault::PowerAt(_) | Fault::SyncAt(_)) | None => bytes.len(),
        };
        let written = &bytes[..room.min(bytes.len())];
        inner.file(name)?.data.extend(written);
        power?;
        match written.len() == bytes.len() {
            true => Ok(()),
            false => Err(ErrorKind::StorageFull.into()),
        }
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.operate()?;
        inner.file(name)?.data.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.operate()?;
        if matches!(inner.fault, Some(Fault::SyncAt(at)) if inner.operations == at) {
            return Err(io::Error::other("the disk didn't answer"));
        }
        inner.syncs += 1;
        let file = inner.file(name)?;
        file.synced = file.data.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.operate()?;
        let file = inner.names.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.names.insert(to.to_owned(), file);
        inner.renamed();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.operate()?;
        inner.names.remove(name).ok_or(ErrorKind::NotFound)?;
        inner.renamed();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.operate()?;
        inner.lasting = inner.names.clone();
        inner.since.clear();
        Ok(())
    }
}
