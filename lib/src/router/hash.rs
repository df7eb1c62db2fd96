//! A deterministic hash for numeric identifiers assigned by this instance.
//!
//! Callers can't choose the keys, so the hash needn't resist deliberate collisions.

use std::hash::{BuildHasherDefault, Hasher};

/// The hash builder of the maps keyed by request and by attempt.
pub(super) type BuildNumberHasher = BuildHasherDefault<NumberHasher>;

/// An odd number close to 2^64 divided by the golden ratio, which spreads consecutive numbers
/// (Fibonacci hashing).
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes each number by a multiplication whose high and low halves are combined by XOR.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NumberHasher {
    state: u64,
}

impl Hasher for NumberHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, number: u32) {
        self.write_u64(u64::from(number));
    }

    fn write_u64(&mut self, number: u64) {
        let product = u128::from(self.state ^ number) * u128::from(MULTIPLIER);
        self.state = (product as u64) ^ ((product >> 64) as u64);
    }

    fn finish(&self) -> u64 {
        self.state
    }
}
