//! The counts of one instance as it sends them, so that the counts of several can be merged.

use hickorylink_lib::{
    burn::{Report, Row, RowKey, Source},
    data,
    ids::InstanceId,
};

data! {
    /// A report as JSON carries it: a key of a map has to be a text there, so maps are pairs.
    pub struct ReportBody {
        /// The instances whose requests are counted.
        pub sources: Vec<(InstanceId, Source)>,
        /// Live instances whose report didn't come.
        pub missing: Vec<InstanceId>,
        /// The rows.
        pub rows: Vec<(RowKey, Row)>,
    }
}

impl From<&Report> for ReportBody {
    fn from(report: &Report) -> Self {
        let pair = |(key, row): (&RowKey, &Row)| (key.clone(), row.clone());
        Self {
            sources: report.sources.iter().map(|(id, source)| (*id, source.clone())).collect(),
            missing: report.missing.iter().copied().collect(),
            rows: report.rows.iter().map(pair).collect(),
        }
    }
}

impl From<ReportBody> for Report {
    fn from(counts: ReportBody) -> Self {
        Self {
            sources: counts.sources.into_iter().collect(),
            missing: counts.missing.into_iter().collect(),
            rows: counts.rows.into_iter().collect(),
        }
    }
}
