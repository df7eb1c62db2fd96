//! The file operations of the store, and their implementation on the file system.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

/// The name of the lock file, which keeps a second process from using the folder.
pub const LOCK: &str = "lock";

/// A folder of append-only files.
///
/// Changes are durable only once they are synced: the bytes of a file by [`Disk::sync`], the
/// creation, renaming and removal of files by [`Disk::sync_folder`].
pub trait Disk {
    /// Locks the folder for this process; returns `false` if another process has locked it.
    ///
    /// # Errors
    ///
    /// The folder can't be created or its lock file can't be opened.
    fn lock(&mut self) -> io::Result<bool>;

    /// Returns the names of all files except the lock file, in any order.
    ///
    /// # Errors
    ///
    /// The folder can't be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads an entire file.
    ///
    /// # Errors
    ///
    /// The file doesn't exist or can't be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// The disk is full or fails; some of the bytes may have been appended.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Makes the bytes of a file durable.
    ///
    /// # Errors
    ///
    /// The disk fails; it is unknown which bytes are durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
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

    /// Makes created, renamed and removed file names durable.
    ///
    /// # Errors
    ///
    /// The disk fails; it is unknown which names are durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    lock: Option<File>,
    /// The file that was opened last.
    open: Option<(String, File)>,
}

impl Folder {
    /// Refers to the folder at `path`; [`Disk::lock`] creates it.
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
