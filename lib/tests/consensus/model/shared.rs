//! Values that are shared between states.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// A value with its hash, shared between states.
#[derive(Debug)]
pub(crate) struct Shared<T> {
    hash: u64,
    pub(crate) value: Arc<T>,
}

impl<T: Hash> Shared<T> {
    pub(crate) fn new(value: T) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Self { hash: hasher.finish(), value: Arc::new(value) }
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self { hash: self.hash, value: Arc::clone(&self.value) }
    }
}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
            && (Arc::ptr_eq(&self.value, &other.value) || self.value == other.value)
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}
