//! The wire format of an instance's burn report, from which reports of several can be merged.

use hickorylink_lib::{
    burn::{Report, Row, RowKey, Source},
    data,
    ids::InstanceId,
};

data! {
    /// A report in JSON. Maps are lists of pairs, as keys in JSON can only be strings.
    pub struct ReportBody {
        /// The instances whose requests are counted, and what each covers.
        pub sources: Vec<(InstanceId, Source)>,
        /// Live instances whose report is missing.
        pub missing: Vec<InstanceId>,
        /// The counts by service and customer.
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
    fn from(body: ReportBody) -> Self {
        Self {
            sources: body.sources.into_iter().collect(),
            missing: body.missing.into_iter().collect(),
            rows: body.rows.into_iter().collect(),
        }
    }
}
