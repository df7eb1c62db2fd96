//! The racks of workers, as their labels show them.
//!
//! Workers report labels without saying which of them names the rack. Racks are told from other labels by
//! their form: labels that differ only in digits name the same kind of thing, and each worker is on one rack.

use std::collections::{BTreeMap, BTreeSet};

use crate::jobs::model::Label;

/// The form of the labels that name racks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RackForm(Option<String>);

impl RackForm {
    /// Finds the form of which each worker has exactly one label, with two workers for each label on average.
    /// Of several, that with the most labels: racks are smaller than data centres.
    pub fn infer<'a>(workers: impl Iterator<Item = &'a [Label]>) -> Self {
        let mut forms: BTreeMap<String, (usize, BTreeSet<&Label>)> = BTreeMap::new();
        let mut count = 0;
        for labels in workers {
            count += 1;
            let mut own: BTreeMap<String, Vec<&Label>> = BTreeMap::new();
            for label in labels {
                if let Some(form) = form(label) {
                    own.entry(form).or_default().push(label);
                }
            }
            for (form, labels) in own {
                if let [label] = labels[..] {
                    let (workers, names) = forms.entry(form).or_default();
                    *workers += 1;
                    names.insert(label);
                }
            }
        }
        let racks = forms.into_iter().filter(|(_, (workers, names))| {
            *workers == count && names.len() > 1 && names.len() * 2 <= count
        });
        Self(racks.max_by_key(|(_, (_, names))| names.len()).map(|(form, _)| form))
    }

    /// The rack among the labels of a worker.
    pub fn rack<'a>(&self, labels: &'a [Label]) -> Option<&'a Label> {
        let known = self.0.as_ref()?;
        labels.iter().find(|label| form(label).as_ref() == Some(known))
    }
}

/// A label with each number replaced; `None` without a number.
fn form(label: &Label) -> Option<String> {
    let mut form = String::new();
    let mut in_number = false;
    for char in label.as_str().chars() {
        let digit = char.is_ascii_digit();
        match (digit, in_number) {
            (true, false) => form.push('#'),
            (true, true) => {}
            (false, _) => form.push(char),
        }
        in_number = digit;
    }
    form.contains('#').then_some(form)
}
