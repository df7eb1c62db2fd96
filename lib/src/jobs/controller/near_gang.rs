//! Rack-sensitive gangs: all members on one rack, or a wait for one that has room for all.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    jobs::{
        controller::{
            leader::Leader,
            near::{Forecasts, Racks},
            round::Round,
        },
        locality::{Choice, Decision, Reason, racks::RackForm},
        model::{Label, Step, StepKey, TaskKey, WorkerNumber},
    },
    time::Time,
};

/// How long the form of the racks' labels is used before it is determined again.
const FORM_AGE: Duration = Duration::from_secs(5);

impl Leader {
    /// The step of a gang with the rack that has room for all its members; `None` if there is no such rack
    /// or it doesn't matter. If several have room, that of the data, otherwise that with the least room, so that
    /// larger gangs find room, too.
    pub(super) fn gathered(
        &mut self,
        now: Time,
        key: &StepKey,
        step: &Step,
        round: &mut Round,
    ) -> Option<Step> {
        let forecasts = self.gang_forecasts(now, key, step, round)?;
        let count = usize::try_from(step.count).ok()?;
        let fitting = forecasts.iter().filter(|(_, forecast)| forecast.present >= count);
        let (rack, _) = fitting
            .min_by_key(|(rack, forecast)| (step.rack.as_ref() != Some(*rack), forecast.present))?;
        Some(Step { rack: Some(rack.clone()), ..step.clone() })
    }

    /// Whether a gang waits for one rack rather than starting on the chosen workers.
    pub(super) fn gang_waits(
        &mut self,
        now: Time,
        key: &StepKey,
        step: &Step,
        chosen: &[(TaskKey, WorkerNumber)],
        round: &mut Round,
    ) -> bool {
        let Some(forecasts) = self.gang_forecasts(now, key, step, round) else { return false };
        let racks = self.racks_of(step, chosen);
        let (count, gathered) = (racks.len(), racks.len() <= 1 && !racks.contains(&None));
        if gathered {
            self.places.waits.record_near(key, now);
            return false;
        }
        if step.options.long_running {
            return false;
        }
        let target = self.best_rack(key, step, &forecasts);
        let (Some((expected, missing, rack)), Some(delay)) = (target, self.delay(key, step)) else {
            let (_, given_up) = self.places.waits.set_tasks(key, 0);
            if given_up > 0 {
                self.places.waits.record_far(key, now, Reason::Lost);
            }
            return false;
        };
        let until = self.begin_wait(now, key, step, &rack);
        // All of the missing rooms have to come.
        let missing = i32::try_from(missing).unwrap_or(i32::MAX);
        let right = self.places.waits.share(&rack, now).powi(missing);
        let choice = Choice {
            now,
            until,
            expected: Some(expected),
            right,
            surplus: delay.surplus,
            slack_ms: delay.slack_ms,
            queued: self.others_wait(key),
        };
        let decision = choice.decide();
        let tasks = match decision {
            Decision::Wait(_) => chosen.len(),
            Decision::Take(_) => 0,
        };
        let alternative = format!("{count} racks");
        let expected = now.until(expected);
        let given_up = self.set_waiting(now, key, tasks, (expected, right, alternative));
        match decision {
            Decision::Wait(_) => true,
            Decision::Take(reason) => {
                if given_up > 0 {
                    self.places.waits.record_far(key, now, reason);
                }
                false
            }
        }
    }

    /// The forecasts of the racks that a gang may gather on; `None` if its racks don't matter.
    fn gang_forecasts(
        &mut self,
        now: Time,
        key: &StepKey,
        step: &Step,
        round: &mut Round,
    ) -> Option<Forecasts> {
        if !self.places.settings.is_on() {
            return None;
        }
        let racks = if step.options.rack_sensitive {
            Racks::All(self.rack_form(now))
        } else {
            Racks::One(step.rack.clone()?)
        };
        let forecasts = self.forecasts(now, key, racks, round);
        (!forecasts.is_empty()).then_some(forecasts)
    }

    /// The racks of the chosen workers; `None` stands for those away from the data of a gang that needs no
    /// common rack otherwise.
    fn racks_of(
        &self,
        step: &Step,
        chosen: &[(TaskKey, WorkerNumber)],
    ) -> BTreeSet<Option<&Label>> {
        let form = self.places.racks.as_ref().map(|(_, form)| form);
        let workers = chosen.iter().filter_map(|(_, number)| self.fleet.workers.get(number));
        let labels = workers.filter_map(|worker| Some(&worker.profile.as_ref()?.labels[..]));
        let rack_sensitive = step.options.rack_sensitive;
        labels
            .map(|labels| match form.filter(|_| rack_sensitive) {
                Some(form) => form.rack(labels),
                None => labels.iter().find(|label| Some(*label) == step.rack.as_ref()),
            })
            .collect()
    }

    /// The rack that is expected to have room for all members first, when, and for how many of them it has no
    /// room yet. A rack that has room for all and wasn't chosen can't run them for another reason.
    fn best_rack(
        &self,
        key: &StepKey,
        step: &Step,
        forecasts: &Forecasts,
    ) -> Option<(Time, usize, Label)> {
        let count = usize::try_from(step.count).ok()?;
        let later = forecasts.iter().filter_map(|(rack, forecast)| {
            let missing = count.checked_sub(forecast.present).filter(|missing| *missing > 0)?;
            let ahead = self.places.waits.ahead(key, rack, forecast.later.len());
            let expected = forecast.after(ahead + missing - 1)?;
            Some((expected, missing, rack))
        });
        later.min().map(|(expected, missing, rack)| (expected, missing, rack.clone()))
    }

    /// The form of the labels that name racks.
    fn rack_form(&mut self, now: Time) -> RackForm {
        let known = self.places.racks.as_ref();
        if let Some((_, form)) = known.filter(|(at, _)| now.since(*at) < FORM_AGE) {
            return form.clone();
        }
        let workers = self.fleet.present();
        let profiles = workers.filter_map(|(_, worker)| worker.profile.as_ref());
        let form = RackForm::infer(profiles.map(|profile| &profile.labels[..]));
        self.places.racks = Some((now, form.clone()));
        form
    }
}
