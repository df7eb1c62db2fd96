//! What a command costs, at 10,000 and at 172,000 running tasks.
//!
//! Each command is encoded, decoded and applied.

use divan::{Bencher, counter::ItemsCount};

use crate::fixture::LoadedLedger;

#[path = "ledger/fixture.rs"]
mod fixture;

/// Numbers of running tasks.
const RUNNING: [usize; 2] = [10_000, 172_000];

fn main() {
    divan::main();
}

/// Submit, start and end: three commands.
#[divan::bench(args = RUNNING, sample_count = 200, sample_size = 100)]
fn task(bencher: Bencher<'_, '_>, running: usize) {
    let mut loaded = LoadedLedger::new(running);
    bencher.counter(ItemsCount::new(3_usize)).bench_local(|| {
        loaded.submit_and_start();
        loaded.end();
    });
}

/// Claim and settle: two commands.
#[divan::bench(args = RUNNING, sample_count = 200, sample_size = 100)]
fn request(bencher: Bencher<'_, '_>, running: usize) {
    let mut loaded = LoadedLedger::new(running);
    bencher.counter(ItemsCount::new(2_usize)).bench_local(|| loaded.claim_and_settle());
}

/// A snapshot of the whole state.
#[divan::bench(args = RUNNING, sample_count = 10, sample_size = 1)]
fn encode(bencher: Bencher<'_, '_>, running: usize) {
    let loaded = LoadedLedger::new(running);
    bencher.bench_local(|| loaded.ledger.encode());
}

/// The whole state from a snapshot.
#[divan::bench(args = RUNNING, sample_count = 10, sample_size = 1)]
fn decode(bencher: Bencher<'_, '_>, running: usize) {
    let bytes = LoadedLedger::new(running).ledger.encode();
    bencher.bench_local(|| hickorylink_lib::ledger::Ledger::decode(&bytes));
}
