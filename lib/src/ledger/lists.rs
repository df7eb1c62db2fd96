//! The current lists, and the replies to edits of them.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    command::{ListEdit, ListKind, Reply},
    data,
    finding::{Finding, Findings, Place},
    ids::{OperatorName, Revision},
    lists::{
        PlansList, UsageList, build_policy, check_consistency, check_replicas, parse_plans,
        parse_usage,
    },
    policy::Policy,
};

data! {
    /// Both lists and the replies to their last edits.
    #[derive(Default)]
    pub(super) struct Lists {
        plans: Option<AcceptedList>,
        usage: Option<AcceptedList>,
        last: Revision,
        /// The replies to the last edits, oldest first.
        replies: VecDeque<RecordedReply>,
    }

    /// A list that was accepted.
    pub struct AcceptedList {
        /// The revision of the list.
        pub revision: Revision,
        /// The version in its text.
        pub version: u64,
        /// The operator who edited the list.
        pub author: OperatorName,
        /// The complete text of the list.
        pub text: Arc<str>,
    }

    struct RecordedReply {
        list: ListKind,
        edit: u128,
        reply: StoredReply,
    }

    /// A [`Reply`] to an edit, without the contents of the current list.
    enum StoredReply {
        Edited(Revision),
        Rejected(Findings),
        /// The reply to a resend contains the list that is current at that time.
        Conflict,
    }
}

/// The plans list and the usage list, as far as they exist.
struct ListPair {
    plans: Option<PlansList>,
    usage: Option<UsageList>,
}

impl Lists {
    /// The current list of this kind.
    pub(super) fn get(&self, list: ListKind) -> Option<&AcceptedList> {
        match list {
            ListKind::Plans => self.plans.as_ref(),
            ListKind::Usage => self.usage.as_ref(),
        }
    }

    /// Applies an edit; also returns the new policy if the list was accepted.
    pub(super) fn edit(&mut self, edit: &ListEdit, max: usize) -> (Reply, Option<Policy>) {
        let mut known = self.replies.iter();
        if let Some(known) = known.find(|known| (known.list, known.edit) == (edit.list, edit.edit))
        {
            return (self.reply(edit.list, &known.reply), None);
        }
        let (stored, policy) = match self.validate(edit) {
            Ok(Some(pair)) => {
                let revision = self.accept(edit, &pair);
                (StoredReply::Edited(revision), Some(self.policy(&pair)))
            }
            Ok(None) => (StoredReply::Conflict, None),
            Err(findings) => (StoredReply::Rejected(findings), None),
        };
        let reply = self.reply(edit.list, &stored);
        self.replies.push_back(RecordedReply { list: edit.list, edit: edit.edit, reply: stored });
        while self.replies.len() > max {
            self.replies.pop_front();
        }
        (reply, policy)
    }

    fn reply(&self, list: ListKind, stored: &StoredReply) -> Reply {
        match (stored, self.get(list)) {
            (StoredReply::Edited(revision), _) => Reply::Edited { revision: *revision },
            (StoredReply::Rejected(findings), _) => Reply::Rejected(findings.clone()),
            (StoredReply::Conflict, Some(accepted)) => Reply::Conflict {
                version: accepted.version,
                author: accepted.author.clone(),
                text: accepted.text.to_string(),
            },
            (StoredReply::Conflict, None) => unreachable!("an edit conflicts only with a list"),
        }
    }

    /// Validates an edit; returns `None` if its version is already taken.
    fn validate(&self, edit: &ListEdit) -> Result<Option<ListPair>, Findings> {
        let pair = self.pair_with(edit)?;
        let current = self.get(edit.list).map_or(0, |accepted| accepted.version);
        let Some((version, place)) = pair.version(edit.list) else { return Ok(None) };
        if version <= current {
            return Ok(None);
        }
        if version != current + 1 {
            return Err(version_gap(version, current, place));
        }
        pair.check(edit.list)?;
        Ok(Some(pair))
    }

    /// The edited list together with the other current list.
    fn pair_with(&self, edit: &ListEdit) -> Result<ListPair, Findings> {
        let text = |list| match list == edit.list {
            true => Some(edit.text.as_str()),
            false => self.get(list).map(|accepted| &*accepted.text),
        };
        let plans = text(ListKind::Plans).map(|text| parse_plans("plans.jsonc", text));
        let usage = text(ListKind::Usage).map(|text| parse_usage("usage.jsonc", text));
        Ok(ListPair { plans: plans.transpose()?, usage: usage.transpose()? })
    }

    fn accept(&mut self, edit: &ListEdit, pair: &ListPair) -> Revision {
        self.last.0 += 1;
        let accepted = AcceptedList {
            revision: self.last,
            version: pair.version(edit.list).map_or(0, |(version, _)| version),
            author: edit.author.clone(),
            text: edit.text.as_str().into(),
        };
        match edit.list {
            ListKind::Plans => self.plans = Some(accepted),
            ListKind::Usage => self.usage = Some(accepted),
        }
        self.last
    }

    fn policy(&self, pair: &ListPair) -> Policy {
        let revision = |list| self.get(list).map_or(Revision(0), |accepted| accepted.revision);
        Policy {
            plans_revision: revision(ListKind::Plans),
            usage_revision: revision(ListKind::Usage),
            ..pair.policy()
        }
    }
}

impl ListPair {
    fn version(&self, list: ListKind) -> Option<(u64, &Place)> {
        match list {
            ListKind::Plans => self.plans.as_ref().map(|plans| (plans.version, &plans.place)),
            ListKind::Usage => self.usage.as_ref().map(|usage| (usage.version, &usage.place)),
        }
    }

    fn check(&self, edited: ListKind) -> Result<(), Findings> {
        let (Some(plans), Some(usage)) = (&self.plans, &self.usage) else { return Ok(()) };
        match edited {
            ListKind::Plans => check_replicas(plans, usage),
            ListKind::Usage => check_consistency(plans, usage),
        }
    }

    fn policy(&self) -> Policy {
        match (&self.plans, &self.usage) {
            (Some(plans), Some(usage)) => build_policy(plans, usage),
            (Some(plans), None) => build_policy(plans, &UsageList::default()),
            (None, _) => Policy::default(),
        }
    }
}

fn version_gap(version: u64, current: u64, place: &Place) -> Findings {
    let message = match current {
        0 => format!("version {version} must be 1: no list stands yet"),
        current => format!("version {version} must be {}: version {current} stands", current + 1),
    };
    Findings { items: vec![Finding { place: place.clone(), message }] }
}
