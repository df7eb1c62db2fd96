//! The reader of the usage list.

use std::collections::BTreeMap;

use crate::{
    document::ObjectView,
    ids::PlanName,
    lists::{
        MAX_ROWS, UsageList, UsageRow,
        fields::{insert, name, optional, resources, rows, version},
    },
    policy::Allowance,
    resources::Resources,
};

const FIELDS: &[&str] = &["version", "usage"];
const ROW_FIELDS: &[&str] = &["plan", "guaranteed", "burst", "best_effort"];

/// Reads the list from its root object.
pub(super) fn read(root: ObjectView<'_, '_>) -> Option<UsageList> {
    let root = root.allow_only(FIELDS);
    let version = version(root);
    root.required("usage");
    let mut usage = BTreeMap::new();
    for object in rows(root, "usage", MAX_ROWS) {
        let object = object.allow_only(ROW_FIELDS);
        let plan = object.required("plan").and_then(name).map(PlanName::from);
        let allowance = allowance(object);
        let Some(plan) = plan else { continue };
        let row = UsageRow { place: object.place(), allowance: allowance.unwrap_or_default() };
        insert(&mut usage, object, "plan", (plan, row));
    }
    Some(UsageList { version: version?, place: root.get("version")?.place(), usage })
}

fn allowance(row: ObjectView<'_, '_>) -> Option<Allowance> {
    let amount = |field| optional(row, field, Resources::ZERO, resources);
    let (guaranteed, burst, best_effort) =
        (amount("guaranteed"), amount("burst"), amount("best_effort"));
    let allowance = Allowance { guaranteed: guaranteed?, burst: burst?, best_effort: best_effort? };
    if allowance == Allowance::default() {
        row.report("the plan may use nothing; give \"guaranteed\", \"burst\" or \"best_effort\"");
    }
    Some(allowance)
}
