//! The recorded estimates of how much opportunistic images slow down serving images.
//!
//! They are part of the replicated state, so that a new leader needn't learn them again. Only the accuracy
//! of the first paces of a new leader depends on them. They are encoded behind the state and behind a
//! batch, so that releases without them read both. Numbers are stored as they were recorded: replicas that
//! apply the same records have the same bits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{data, jobs::model::Image};

/// The maximum number of pairs of images.
pub const MAX_PAIRS: usize = 4096;

/// The maximum number of serving images with a baseline.
pub const MAX_BASELINES: usize = 1024;

/// The maximum number of pairs in a record, and of baselines. With the longest names a record has less
/// than 30 KB, a small part of a log entry.
pub const MAX_RECORDED: usize = 32;

/// The maximum length of the name of an image, in bytes. Estimates of others aren't recorded.
pub const MAX_IMAGE_BYTES: usize = 255;

/// A floating-point number as its bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Float(u32);

data! {
    /// A serving image and an opportunistic image.
    #[derive(PartialOrd, Ord)]
    pub struct ImagePair {
        /// The serving image.
        pub serving: Image,
        /// The opportunistic image.
        pub opportunistic: Image,
    }

    /// How much an opportunistic image slows down a serving image.
    #[derive(Copy)]
    pub struct PairEstimate {
        /// The mean increase of the logarithm of the tail latency per processor.
        pub mean: Float,
        /// The variance of that mean.
        pub variance: Float,
        /// The number of samples.
        pub samples: u32,
    }

    /// The average tail latency of a serving image without opportunistic tasks beside it.
    #[derive(Copy)]
    pub struct BaselineEstimate {
        /// The logarithm of the latency in milliseconds.
        pub mean: Float,
        /// The number of samples.
        pub samples: u32,
    }

    /// Estimates that replace earlier ones.
    #[derive(Default)]
    pub struct EstimateRecord {
        /// The pairs; at most [`MAX_RECORDED`] count.
        pub pairs: Vec<(ImagePair, PairEstimate)>,
        /// The baselines; at most [`MAX_RECORDED`] count.
        pub baselines: Vec<(Image, BaselineEstimate)>,
    }
}

impl From<f32> for Float {
    fn from(value: f32) -> Self {
        Self(value.to_bits())
    }
}

impl From<Float> for f32 {
    fn from(value: Float) -> Self {
        Self::from_bits(value.0)
    }
}

impl From<Float> for f64 {
    fn from(value: Float) -> Self {
        f32::from(value).into()
    }
}

impl ImagePair {
    /// Whether estimates of the pair are recorded.
    pub fn is_recordable(&self) -> bool {
        is_recordable(&self.serving) && is_recordable(&self.opportunistic)
    }
}

/// Whether estimates of an image are recorded.
pub(super) fn is_recordable(image: &Image) -> bool {
    image.as_str().len() <= MAX_IMAGE_BYTES
}

impl EstimateRecord {
    /// Whether it replaces nothing.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty() && self.baselines.is_empty()
    }
}

/// Values by key. If there are too many, those that were recorded least recently are forgotten.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Table<K: Ord, V>(BTreeMap<K, Recorded<V>>);

/// A value and the number of the record that it was in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Recorded<V> {
    record: u64,
    value: V,
}

impl<K: Ord, V> Default for Table<K, V> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord + Clone, V> Table<K, V> {
    fn evict(&mut self, max: usize) {
        let excess = self.0.len().saturating_sub(max);
        if excess == 0 {
            return;
        }
        let mut oldest: Vec<_> = self.0.iter().map(|(key, entry)| (entry.record, key)).collect();
        oldest.sort_unstable();
        let oldest: Vec<_> = oldest.into_iter().take(excess).map(|(_, key)| key.clone()).collect();
        for key in oldest {
            self.0.remove(&key);
        }
    }
}

/// The recorded estimates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estimates {
    /// The number of records so far.
    records: u64,
    pairs: Table<ImagePair, PairEstimate>,
    baselines: Table<Image, BaselineEstimate>,
}

impl Estimates {
    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.pairs.0.is_empty() && self.baselines.0.is_empty()
    }

    /// The estimate of a pair.
    pub fn pair(&self, pair: &ImagePair) -> Option<PairEstimate> {
        self.pairs.0.get(pair).map(|entry| entry.value)
    }

    /// The average baseline of a serving image.
    pub fn baseline(&self, serving: &Image) -> Option<BaselineEstimate> {
        self.baselines.0.get(serving).map(|entry| entry.value)
    }

    /// All pairs, the most recently recorded first.
    pub fn pairs(&self) -> Vec<(&ImagePair, PairEstimate)> {
        let mut pairs: Vec<_> = self.pairs.0.iter().collect();
        pairs.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.record));
        pairs.into_iter().map(|(pair, entry)| (pair, entry.value)).collect()
    }

    /// All baselines, by the names of the serving images.
    pub fn baselines(&self) -> impl Iterator<Item = (&Image, BaselineEstimate)> {
        self.baselines.0.iter().map(|(image, entry)| (image, entry.value))
    }

    /// The number of pairs.
    pub fn len(&self) -> usize {
        self.pairs.0.len()
    }

    /// Replaces the estimates that a record contains.
    pub fn apply(&mut self, record: &EstimateRecord) {
        if record.is_empty() {
            return;
        }
        self.records = self.records.saturating_add(1);
        let number = self.records;
        for (pair, value) in record.pairs.iter().take(MAX_RECORDED) {
            if pair.is_recordable() {
                self.pairs.0.insert(pair.clone(), Recorded { record: number, value: *value });
            }
        }
        for (image, value) in record.baselines.iter().take(MAX_RECORDED) {
            if is_recordable(image) {
                self.baselines.0.insert(image.clone(), Recorded { record: number, value: *value });
            }
        }
        self.pairs.evict(MAX_PAIRS);
        self.baselines.evict(MAX_BASELINES);
    }
}
