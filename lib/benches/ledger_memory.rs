//! Measures the memory of a ledger at full size, as the resident set size of the process.

use crate::fixture::LoadedLedger;

#[path = "ledger/fixture.rs"]
mod fixture;

/// The number of running tasks at full size.
const RUNNING: usize = 172_000;

/// The number of ended tasks after which all limits on ended tasks and their keys are reached.
const ENDED: usize = 400_000;

/// The number of claims after which their limit is reached.
const CLAIMS: usize = 150_000;

fn main() {
    let empty = resident();
    let mut loaded = LoadedLedger::new(RUNNING);
    println!("bytes a command: {:.1}", loaded.bytes as f64 / loaded.commands as f64);
    report("172,000 running tasks", &loaded, empty);
    for _ in 0..ENDED {
        loaded.end();
        loaded.submit_and_start();
    }
    report("and every bound of ended tasks reached", &loaded, empty);
    for _ in 0..CLAIMS {
        loaded.claim_and_settle();
    }
    report("and every bound of claims reached", &loaded, empty);
}

fn report(what: &str, loaded: &LoadedLedger, empty: u64) {
    let resident = resident() - empty;
    let encoded = loaded.ledger.encode().len();
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    println!("{what}: {:.1} MiB resident, {:.1} MiB encoded", mib(resident), mib(encoded as u64));
}

/// The resident set size of the process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0);
    kib * 1024
}
