//! The metrics of evacuated data centres.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use hickorylink_lib::{
    ids::DataCentre,
    jobs::controller::{Controller, evacuate::CentreLoad, leader::Leader},
};
use prometheus_client::{encoding::EncodeLabelSet, metrics::family::Family, registry::Registry};

use crate::metrics::{IntGauge, saturating_i64};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CentreLabels {
    centre: String,
}

/// What the metrics of a data centre show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reading {
    evacuated: bool,
    load: CentreLoad,
}

/// The metrics of the data centres that may be evacuated, and of those that were.
#[derive(Debug, Default)]
pub(super) struct EvacuationMetrics {
    evacuated: Family<CentreLabels, IntGauge>,
    runs: Family<CentreLabels, IntGauge>,
    stopping: Family<CentreLabels, IntGauge>,
    shown: Mutex<Shown>,
}

/// What all metrics show.
#[derive(Debug, Default)]
struct Shown {
    readings: BTreeMap<DataCentre, Reading>,
    /// Whether no data centre is evacuated, and this has been shown.
    settled: bool,
}

impl EvacuationMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, r: &mut Registry) {
        r.register("evacuated", "Whether a data centre is evacuated", self.evacuated.clone());
        r.register(
            "evacuation_runs",
            "Runs that are left in an evacuated data centre",
            self.runs.clone(),
        );
        r.register(
            "evacuation_stopping_runs",
            "Runs in an evacuated data centre that are being stopped",
            self.stopping.clone(),
        );
    }

    /// Updates the metrics from the controller's state. Only the leader knows the runs.
    pub(super) fn observe(&self, controller: &Controller) {
        let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
        let evacuations = &controller.committed().evacuations;
        // This runs in each turn of control.
        if evacuations.is_empty() && shown.settled {
            return;
        }
        let centres = shown.readings.keys().chain(controller.centres());
        let mut readings: BTreeMap<_, _> =
            centres.map(|centre| (centre.clone(), Reading::default())).collect();
        for centre in evacuations.iter() {
            readings.entry(centre.clone()).or_default().evacuated = true;
        }
        for (centre, load) in controller.leader().into_iter().flat_map(Leader::evacuations) {
            readings.entry(centre.clone()).or_default().load = load;
        }
        for (centre, reading) in &readings {
            if shown.readings.get(centre) != Some(reading) {
                self.show(centre, reading);
            }
        }
        let settled = readings.values().all(|reading| *reading == Reading::default());
        *shown = Shown { readings, settled };
    }

    fn show(&self, centre: &DataCentre, reading: &Reading) {
        let labels = CentreLabels { centre: centre.to_string() };
        let Reading { evacuated, load } = reading;
        self.evacuated.get_or_create(&labels).set(i64::from(*evacuated));
        self.runs.get_or_create(&labels).set(saturating_i64(load.runs as u64));
        self.stopping.get_or_create(&labels).set(saturating_i64(load.stopping as u64));
    }
}
