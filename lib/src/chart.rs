//! State charts: files that define state machines, and their interpreter.
//!
//! A chart lists the states, the transitions with their guards and actions, and the events that
//! a state ignores on purpose. Loading a chart checks its names against the enums in the code,
//! and rejects unreachable states and events that a state doesn't handle. After that, a step is
//! a table lookup.

use std::fmt;

use crate::{
    document::{Document, ObjectView, ValueView},
    finding::Findings,
};

/// The enums that the names in a chart refer to; see [`symbols!`](crate::symbols).
pub struct Vocabulary<'v, S, E, G, A> {
    /// All states with their names.
    pub states: (&'v [S], &'v [&'v str]),
    /// All events with their names.
    pub events: (&'v [E], &'v [&'v str]),
    /// All guards with their names.
    pub guards: (&'v [G], &'v [&'v str]),
    /// All actions with their names.
    pub actions: (&'v [A], &'v [&'v str]),
}

/// A validated chart: a table of rules, indexed by state and event.
#[derive(Clone, Debug)]
pub struct Chart<S, E, G, A> {
    initial: S,
    events: usize,
    cells: Vec<Cell<S, G, A>>,
    marker: std::marker::PhantomData<fn(E)>,
}

/// How a state handles an event.
#[derive(Clone, Debug)]
enum Cell<S, G, A> {
    Missing,
    Ignored,
    Rules(Vec<Rule<S, G, A>>),
}

#[derive(Clone, Debug)]
struct Rule<S, G, A> {
    guards: Vec<Guard<G>>,
    actions: Vec<A>,
    to: S,
}

/// A guard and the value that it must have; `!` before the name of a guard means false.
#[derive(Clone, Copy, Debug)]
struct Guard<G> {
    guard: G,
    expected: bool,
}

/// The result of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step<'c, S, A> {
    /// The next state.
    pub to: S,
    /// The actions to run, in order.
    pub actions: &'c [A],
}

/// An event for which no rule applies in the current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unhandled<S, E> {
    /// The current state, which doesn't change.
    pub state: S,
    /// The event.
    pub event: E,
}

impl<S: fmt::Display, E: fmt::Display> fmt::Display for Unhandled<S, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event \"{}\" has no transition in state \"{}\"", self.event, self.state)
    }
}

impl<S: fmt::Debug + fmt::Display, E: fmt::Debug + fmt::Display> std::error::Error
    for Unhandled<S, E>
{
}

impl<S, E, G, A> Chart<S, E, G, A>
where
    S: Copy + PartialEq + Into<usize>,
    E: Copy + Into<usize>,
    G: Copy,
    A: Copy,
{
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// All errors in the file, with their positions: unknown names, unreachable states, events
    /// that a state neither handles nor ignores, and transitions that can never be taken.
    pub fn parse(
        file: &str,
        text: &str,
        vocabulary: &Vocabulary<'_, S, E, G, A>,
    ) -> Result<Self, Findings> {
        Document::read(file, text, |root| {
            let reader = Reader { vocabulary, root: root.allow_only(FIELDS) };
            reader.chart()
        })
    }

    /// The initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Looks up the transition for `event` in `state`; `holds` evaluates the guards.
    ///
    /// # Errors
    ///
    /// [`Unhandled`] if no rule applies.
    pub fn step(
        &self,
        state: S,
        event: E,
        holds: impl Fn(G) -> bool,
    ) -> Result<Step<'_, S, A>, Unhandled<S, E>> {
        match &self.cells[state.into() * self.events + event.into()] {
            Cell::Missing => Err(Unhandled { state, event }),
            Cell::Ignored => Ok(Step { to: state, actions: &[] }),
            Cell::Rules(rules) => rules
                .iter()
                .find(|rule| rule.guards.iter().all(|g| holds(g.guard) == g.expected))
                .map(|rule| Step { to: rule.to, actions: &rule.actions })
                .ok_or(Unhandled { state, event }),
        }
    }
}

const FIELDS: &[&str] = &["chart", "initial", "transitions", "ignored"];
const TRANSITION_FIELDS: &[&str] = &["from", "on", "if", "do", "to"];
const IGNORED_FIELDS: &[&str] = &["in", "on"];

struct Reader<'r, 'd, 'a, S, E, G, A> {
    vocabulary: &'r Vocabulary<'r, S, E, G, A>,
    root: ObjectView<'d, 'a>,
}

impl<'d, 'a, S, E, G, A> Reader<'_, 'd, 'a, S, E, G, A>
where
    S: Copy + PartialEq + Into<usize>,
    E: Copy + Into<usize>,
    G: Copy,
    A: Copy,
{
    fn chart(&self) -> Option<Chart<S, E, G, A>> {
        let (states, _) = self.vocabulary.states;
        let (events, _) = self.vocabulary.events;
        self.root.required("chart")?.text()?;
        let initial = symbol(self.root.required("initial")?, self.vocabulary.states)?;
        let mut chart = Chart {
            initial,
            events: events.len(),
            cells: vec![Cell::Missing; states.len() * events.len()],
            marker: std::marker::PhantomData,
        };
        for transition in self.root.list("transitions") {
            self.transition(transition, &mut chart);
        }
        for ignored in self.root.list("ignored") {
            self.ignored(ignored, &mut chart);
        }
        self.check_reachable(&chart);
        self.check_handled(&chart);
        Some(chart)
    }

    fn transition(&self, value: ValueView<'d, 'a>, chart: &mut Chart<S, E, G, A>) -> Option<()> {
        let object = value.object()?.allow_only(TRANSITION_FIELDS);
        let from = symbol_list(object.required("from")?, self.vocabulary.states);
        let on = symbol_list(object.required("on")?, self.vocabulary.events);
        let guards: Vec<_> =
            object.list("if").into_iter().filter_map(|guard| self.guard(guard)).collect();
        let actions: Vec<_> = object
            .list("do")
            .into_iter()
            .filter_map(|action| symbol(action, self.vocabulary.actions))
            .collect();
        let to = match object.get("to") {
            Some(to) => Some(symbol(to, self.vocabulary.states)?),
            None => None,
        };
        for state in &from {
            for event in &on {
                let rule = Rule {
                    guards: guards.clone(),
                    actions: actions.clone(),
                    to: to.unwrap_or(*state),
                };
                add_rule(object, chart, (*state).into() * chart.events + (*event).into(), rule);
            }
        }
        Some(())
    }

    fn guard(&self, value: ValueView<'d, 'a>) -> Option<Guard<G>> {
        let text = value.text()?;
        let (name, expected) = match text.strip_prefix('!') {
            Some(name) => (name, false),
            None => (text, true),
        };
        let (guards, names) = self.vocabulary.guards;
        match names.iter().position(|known| *known == name) {
            Some(at) => Some(Guard { guard: guards[at], expected }),
            None => {
                value.one_of(names);
                None
            }
        }
    }

    fn ignored(&self, value: ValueView<'d, 'a>, chart: &mut Chart<S, E, G, A>) -> Option<()> {
        let object = value.object()?.allow_only(IGNORED_FIELDS);
        for state in symbol_list(object.required("in")?, self.vocabulary.states) {
            for event in symbol_list(object.required("on")?, self.vocabulary.events) {
                let cell = &mut chart.cells[state.into() * chart.events + event.into()];
                match cell {
                    Cell::Missing => *cell = Cell::Ignored,
                    Cell::Ignored => object.report("the event is ignored twice in a state"),
                    Cell::Rules(_) => object.report("an ignored event also has a transition"),
                }
            }
        }
        Some(())
    }

    fn check_reachable(&self, chart: &Chart<S, E, G, A>) {
        let (states, names) = self.vocabulary.states;
        let mut reached = vec![false; states.len()];
        let mut pending = vec![chart.initial.into()];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reached[state], true) {
                continue;
            }
            for cell in &chart.cells[state * chart.events..(state + 1) * chart.events] {
                if let Cell::Rules(rules) = cell {
                    pending.extend(rules.iter().map(|rule| rule.to.into()));
                }
            }
        }
        for (name, _) in names.iter().zip(&reached).filter(|(_, reached)| !**reached) {
            self.root.report(format!("state \"{name}\" can't be reached"));
        }
    }

    fn check_handled(&self, chart: &Chart<S, E, G, A>) {
        let (_, states) = self.vocabulary.states;
        let (_, events) = self.vocabulary.events;
        for (at, cell) in chart.cells.iter().enumerate() {
            if matches!(cell, Cell::Missing) {
                let (state, event) = (states[at / chart.events], events[at % chart.events]);
                self.root.report(format!("state \"{state}\" doesn't handle event \"{event}\""));
            }
        }
    }
}

fn add_rule<S: Copy, E, G: Copy, A: Copy>(
    object: ObjectView<'_, '_>,
    chart: &mut Chart<S, E, G, A>,
    at: usize,
    rule: Rule<S, G, A>,
) {
    match &mut chart.cells[at] {
        Cell::Rules(rules) => {
            if rules.last().is_some_and(|last| last.guards.is_empty()) {
                object.report("an earlier transition without \"if\" hides this one");
            }
            rules.push(rule);
        }
        cell => *cell = Cell::Rules(vec![rule]),
    }
}

fn symbol<T: Copy>(value: ValueView<'_, '_>, (members, names): (&[T], &[&str])) -> Option<T> {
    let name = value.one_of(names)?;
    names.iter().position(|known| *known == name).map(|at| members[at])
}

fn symbol_list<T: Copy>(value: ValueView<'_, '_>, vocabulary: (&[T], &[&str])) -> Vec<T> {
    value.elements().into_iter().filter_map(|element| symbol(element, vocabulary)).collect()
}
