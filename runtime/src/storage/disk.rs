//! The folder as the store sees it, and the real one.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

/// The name of the file that keeps a second process out.
pub const LOCK: &str = "lock";

/// A folder of files that are written at their ends.
///
/// Nothing lasts before it is synced: a file's bytes by [`Disk::sync`], the making, renaming and
/// removing of files by [`Disk::sync_folder`].
pub trait Disk {
    /// Takes the folder for this process; gives `false` if another process has it.
    ///
    /// # Errors
    ///
    /// The folder can't be made or its lock file can't be opened.
    fn lock(&mut self) -> io::Result<bool>;

    /// The names of all files but the lock, in any order.
    ///
    /// # Errors
    ///
    /// The folder can't be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// The whole file.
    ///
    /// # Errors
    ///
    /// It isn't there or can't be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds bytes to the end of a file, which is made if it isn't there.
    ///
    /// # Errors
    ///
    /// The disk is full or fails; part of the bytes may have been added.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Makes a file's bytes last.
    ///
    /// # Errors
    ///
    /// The disk fails; it isn't known what lasts.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of the file that has it.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's names last.
    ///
    /// # Errors
    ///
    /// The disk fails; it isn't known what lasts.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    lock: Option<File>,
    /// The file that was appended to last.
    open: Option<(String, File)>,
}

impl Folder {
    /// The folder at `path`, which is made when it is locked.
    pub fn new(path: impl AsRef<Path>) -> Self {
        Self { path: path.as_ref().to_owned(), lock: None, open: None }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn close(&mut self, name: &str) {
        self.open.take_if(|(open, _)| open == name);
    }
}

impl Disk for Folder {
    fn lock(&mut self) -> io::Result<bool> {
        fs::create_dir_all(&self.path)?;
        let options = OpenOptions::new().create(true).truncate(false).write(true).clone();
        let file = options.open(self.path.join(LOCK))?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
