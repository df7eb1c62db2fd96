//! The data centres that are evacuated: nothing more is started on their workers.
//!
//! They are part of the replicated state. Both the orders in a batch and the set in a snapshot are encoded
//! behind what releases without them read.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{data, ids::DataCentre};

/// The maximum number of data centres that may be evacuated at the same time, so that requests with
/// arbitrary names can't make the state grow without bound.
pub const MAX_EVACUATIONS: usize = 64;

/// The longest valid name of a data centre, in bytes.
const MAX_NAME_BYTES: usize = 128;

data! {
    /// An operator's order about a data centre. Repeating an order changes nothing.
    pub enum EvacuationOrder {
        /// Evacuate the data centre.
        Begin {
            /// The data centre.
            centre: DataCentre,
        },
        /// Cancel the evacuation of the data centre.
        Cancel {
            /// The data centre.
            centre: DataCentre,
        },
    }
}

impl EvacuationOrder {
    /// The data centre that the order is about.
    pub fn centre(&self) -> &DataCentre {
        match self {
            Self::Begin { centre } | Self::Cancel { centre } => centre,
        }
    }
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations(BTreeSet<DataCentre>);

impl Evacuations {
    /// Whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether as many data centres are evacuated as possible.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_EVACUATIONS
    }

    /// Whether the data centre is evacuated.
    pub fn contains(&self, centre: &DataCentre) -> bool {
        self.0.contains(centre)
    }

    /// The evacuated data centres.
    pub fn iter(&self) -> impl Iterator<Item = &DataCentre> {
        self.0.iter()
    }

    /// Applies an order. Returns whether it changed anything.
    pub fn apply(&mut self, order: &EvacuationOrder) -> bool {
        match order {
            EvacuationOrder::Begin { centre } => self.0.insert(centre.clone()),
            EvacuationOrder::Cancel { centre } => self.0.remove(centre),
        }
    }
}

/// Whether a data centre may have this name: it isn't empty or too long, and has neither `/` nor white space
/// nor control characters.
pub fn is_valid_name(name: &str) -> bool {
    let is_valid = |c: char| c != '/' && !c.is_whitespace() && !c.is_control();
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_valid)
}
