//! Benchmarks of commands, with 10,000 and with 172,000 running tasks.
//!
//! Each command is encoded, decoded and applied.

use divan::{Bencher, counter::ItemsCount};

use crate::fixture::LoadedLedger;

#[path = "ledger/fixture.rs"]
mod fixture;

/// The numbers of running tasks.
const RUNNING: [usize; 2] = [10_000, 172_000];

fn main() {
    divan::main();
}

/// Submits, starts and ends a task: three commands.
#[divan::bench(args = RUNNING, sample_count = 200, sample_size = 100)]
fn task(bencher: Bencher<'_, '_>, running: usize) {
    let mut loaded = LoadedLedger::new(running);
    bencher.counter(ItemsCount::new(3_usize)).bench_local(|| {
        loaded.submit_and_start();
        loaded.end();
    });
}

/// Claims and settles a key: two commands.
#[divan::bench(args = RUNNING, sample_count = 200, sample_size = 100)]
fn request(bencher: Bencher<'_, '_>, running: usize) {
    let mut loaded = LoadedLedger::new(running);
    bencher.counter(ItemsCount::new(2_usize)).bench_local(|| loaded.claim_and_settle());
}

/// Encodes a snapshot.
#[divan::bench(args = RUNNING, sample_count = 10, sample_size = 1)]
fn encode(bencher: Bencher<'_, '_>, running: usize) {
    let loaded = LoadedLedger::new(running);
    bencher.bench_local(|| loaded.ledger.encode());
}

/// Decodes a snapshot.
#[divan::bench(args = RUNNING, sample_count = 10, sample_size = 1)]
fn decode(bencher: Bencher<'_, '_>, running: usize) {
    let bytes = LoadedLedger::new(running).ledger.encode();
    bencher.bench_local(|| hickorylink_lib::ledger::Ledger::decode(&bytes));
}
