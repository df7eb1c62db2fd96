//! The memory of a ledger at full size, as the system counts the process's pages.

use crate::load::Load;

#[path = "ledger/load.rs"]
mod load;

/// Running tasks at full size.
const RUNNING: usize = 172_000;

/// Ended tasks after which all bounds of ended tasks and their keys are reached.
const ENDED: usize = 400_000;

/// Claims after which their bound is reached.
const CLAIMS: usize = 150_000;

fn main() {
    let empty = resident();
    let mut load = Load::new(RUNNING);
    println!("bytes a command: {:.1}", load.bytes as f64 / load.commands as f64);
    report("172,000 running tasks", &load, empty);
    for _ in 0..ENDED {
        load.end();
        load.submit_and_start();
    }
    report("and every bound of ended tasks reached", &load, empty);
    for _ in 0..CLAIMS {
        load.claim_and_settle();
    }
    report("and every bound of claims reached", &load, empty);
}

fn report(what: &str, load: &Load, empty: u64) {
    let resident = resident() - empty;
    let encoded = load.ledger.encode().len();
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    println!("{what}: {:.1} MiB resident, {:.1} MiB encoded", mib(resident), mib(encoded as u64));
}

/// Bytes of the process that are in memory.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0);
    kib * 1024
}
