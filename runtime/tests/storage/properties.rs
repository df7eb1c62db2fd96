//! What holds after any writes, crashes and damage.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck hands its values over")]

use hickorylink_lib::{ids::InstanceId, time::WallTime};
use hickorylink_runtime::storage::{Identity, Opened, Store, StoreError};
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::{
    fake::{Dice, FakeDisk, Fault},
    model::{Model, batch},
};

/// A segment is followed by another after so many bytes, so that there are several.
const SEGMENT: u64 = 2_000;

const CRASHES: u64 = 1_000;
const FLIPS: u64 = 1_000;
const SIZE: usize = 10;

type Batches = Vec<Vec<(u8, u8)>>;

fn open(disk: &FakeDisk) -> Result<Opened<FakeDisk>, StoreError> {
    let fresh = Identity { instance: InstanceId(0x5eed_1234_9876), created: WallTime(7) };
    Store::open(disk.clone(), fresh, SEGMENT)
}

fn check<A: quickcheck::Testable>(seed: u64, tests: u64, property: A) {
    let gen_ = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new().rng(gen_).tests(tests).max_tests(tests * 10).quickcheck(property);
}

/// Opens the folder and writes batches until the power goes; gives the state that was promised
/// and the one that the batch under way leads to.
fn run(disk: &FakeDisk, model: &Model, batches: &[Vec<(u8, u8)>]) -> (Model, Model) {
    let mut promised = model.clone();
    let Ok(mut opened) = open(disk) else { return (promised.clone(), promised) };
    for choices in batches {
        let (writes, after) = batch(&promised, choices);
        match opened.store.write(&writes) {
            Ok(sequence) => assert_eq!(sequence, after.sequence),
            Err(_) => return (promised, after),
        }
        promised = after;
    }
    (promised.clone(), promised)
}

#[test]
fn what_was_synced_is_recovered_and_nothing_else() {
    fn holds(lives: Vec<(Batches, u8)>, seed: u64) -> TestResult {
        let disk = FakeDisk::default();
        let mut dice = Dice(seed);
        let mut model = Model::default();
        for (batches, power) in lives {
            let at = disk.operations() + 1 + u64::from(power) / 2;
            disk.set_fault(Some(Fault::PowerAt(at)));
            let (promised, under_way) = run(&disk, &model, &batches);
            disk.restart(&mut dice);
            let opened = match open(&disk) {
                Ok(opened) => opened,
                Err(error) => return TestResult::error(format!("it doesn't open: {error}")),
            };
            let found = [&under_way, &promised].into_iter().find(|m| m.is(&opened.recovered));
            let Some(found) = found else {
                let (recovered, cut) = (opened.recovered, opened.truncation);
                return TestResult::error(format!(
                    "found {recovered:?}\nwhere {promised:?}\nwas promised; cut {cut:?}"
                ));
            };
            model = found.clone();
            disk.stop();
        }
        TestResult::passed()
    }
    check(11, CRASHES, holds as fn(_, _) -> _);
}

#[test]
fn a_flipped_bit_is_found_or_harmless() {
    fn holds(batches: Batches, file: usize, bit: usize) -> TestResult {
        let disk = FakeDisk::default();
        let (promised, _) = run(&disk, &Model::default(), &batches);
        disk.stop();
        let names = disk.names();
        disk.flip(&names[file % names.len()], bit);
        match open(&disk) {
            Err(_) => TestResult::passed(),
            Ok(opened) if promised.is(&opened.recovered) => TestResult::passed(),
            Ok(opened) => TestResult::error(format!("cut {:?} of {promised:?}", opened.truncation)),
        }
    }
    check(12, FLIPS, holds as fn(_, _, _) -> _);
}

#[test]
fn a_failed_write_promises_nothing_and_ends_the_store() {
    fn holds(batches: Batches, at: u8, full: bool, seed: u64) -> TestResult {
        let disk = FakeDisk::default();
        let at = u64::from(at);
        let fault = if full { Fault::Full(at as usize * 32) } else { Fault::SyncAt(at) };
        disk.set_fault(Some(fault));
        let Ok(mut opened) = open(&disk) else { return TestResult::discard() };
        let mut promised = Model::default();
        let mut under_way = None;
        for choices in &batches {
            let (writes, after) = batch(&promised, choices);
            if opened.store.write(&writes).is_err() {
                under_way = Some(after);
                break;
            }
            promised = after;
        }
        let Some(under_way) = under_way else { return TestResult::discard() };
        disk.set_fault(None);
        let (writes, _) = batch(&promised, &[(0, 1)]);
        if !matches!(opened.store.write(&writes), Err(StoreError::Poisoned)) {
            return TestResult::error("a write after a failed one was taken");
        }
        disk.restart(&mut Dice(seed));
        match open(&disk) {
            Ok(opened) => TestResult::from_bool(
                promised.is(&opened.recovered) || under_way.is(&opened.recovered),
            ),
            Err(error) => TestResult::error(format!("it doesn't open: {error}")),
        }
    }
    check(13, FLIPS, holds as fn(_, _, _, _) -> _);
}
