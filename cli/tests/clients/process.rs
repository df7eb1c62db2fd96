//! Memory and descriptors of a process, from `/proc`.

use std::fs;

/// The most descriptors that a process had open, and its memory, as far as they have been read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// The peak of the resident memory, in bytes.
    pub(crate) peak: u64,
    /// The highest number of open descriptors that was seen.
    pub(crate) fds: u64,
}

impl Usage {
    /// Reads the process once more. Keeps the earlier values if it has ended.
    pub(crate) fn sample(&mut self, pid: u32) {
        self.peak = self.peak.max(status_bytes(pid, "VmHWM").unwrap_or(0));
        self.fds = self.fds.max(open_fds(pid).unwrap_or(0));
    }
}

/// The resident memory, in bytes.
pub(crate) fn resident(pid: u32) -> Option<u64> {
    status_bytes(pid, "VmRSS")
}

/// A field of the status that is given in kB, in bytes.
fn status_bytes(pid: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}

fn open_fds(pid: u32) -> Option<u64> {
    let entries = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    u64::try_from(entries.count()).ok()
}
