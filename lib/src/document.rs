//! A reader of files in JSON with comments.
//!
//! Views give access to objects and values. Fields that are missing, unknown or of the wrong type
//! are collected with their positions, so that one pass over a file reports all errors in it.

use std::{
    cell::{OnceCell, RefCell},
    collections::BTreeSet,
};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Array, Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::finding::{Finding, Findings, Place};

/// The minimum similarity of a suggested name to the unknown one, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.7;

/// The maximum number of known names that a finding lists; the rest are only counted.
const MAX_NAMES_SHOWN: usize = 10;

/// The number of findings in a file after which unknown names get no suggestion any more:
/// comparing a name with all known names is the most expensive part of a check.
const MAX_SUGGESTIONS: usize = 100;

/// A parsed file with the findings collected so far.
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    /// The offset of each line, computed when a position is first needed.
    lines: OnceCell<Vec<usize>>,
    findings: RefCell<Vec<(usize, String)>>,
}

/// An object in a document.
#[derive(Clone, Copy)]
pub struct ObjectView<'d, 'a> {
    document: &'d Document<'a>,
    object: &'d Object<'a>,
}

/// A value in a document, with the name of the field that holds it.
#[derive(Clone, Copy)]
pub struct ValueView<'d, 'a> {
    document: &'d Document<'a>,
    field: &'d str,
    value: &'d Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`, passes its root object to `read` and returns the result of `read`.
    ///
    /// # Errors
    ///
    /// All findings, ordered by position, if there are any.
    pub fn read<T>(
        file: &'a str,
        text: &'a str,
        read: impl FnOnce(ObjectView<'_, 'a>) -> Option<T>,
    ) -> Result<T, Findings> {
        let document = Self { file, text, lines: OnceCell::new(), findings: RefCell::default() };
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        let value = match &parsed {
            Ok(result) => result.value.as_ref(),
            Err(error) => {
                document.add(error.range().start, error.kind().to_string());
                None
            }
        };
        let output = match value {
            Some(Value::Object(object)) => read(ObjectView { document: &document, object }),
            Some(other) => {
                document.add(other.range().start, "expected an object".to_owned());
                None
            }
            None => {
                if parsed.is_ok() {
                    document.add(0, "the file is empty; expected an object".to_owned());
                }
                None
            }
        };
        document.finish(output)
    }

    fn finish<T>(&self, output: Option<T>) -> Result<T, Findings> {
        let mut findings = self.findings.take();
        if findings.is_empty() {
            match output {
                Some(output) => return Ok(output),
                None => findings.push((0, "the file could not be read".to_owned())),
            }
        }
        findings.sort();
        findings.dedup();
        let items = findings
            .into_iter()
            .map(|(at, message)| Finding { place: self.place(at), message })
            .collect();
        Err(Findings { items })
    }

    fn add(&self, at: usize, message: String) {
        self.findings.borrow_mut().push((at, message));
    }

    /// Converts a byte offset to a position.
    fn place(&self, at: usize) -> Place {
        let starts = self.lines.get_or_init(|| {
            let breaks = self.text.match_indices('\n').map(|(at, _)| at + 1);
            std::iter::once(0).chain(breaks).collect()
        });
        let line = starts.partition_point(|start| *start <= at);
        let start = starts[line - 1];
        let column = self.text.get(start..at).unwrap_or("").chars().count() + 1;
        Place {
            file: self.file.to_owned(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

impl<'d, 'a> ObjectView<'d, 'a> {
    /// Reports fields that aren't in `known`, and duplicate fields.
    pub fn allow_only(self, known: &[&str]) -> Self {
        let mut seen = BTreeSet::new();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            if !known.contains(&name) {
                self.document.add(prop.range.start, unknown_name("field", name, known));
            }
            if !seen.insert(name) {
                self.document.add(prop.range.start, format!("field \"{name}\" is given twice"));
            }
        }
        self
    }

    /// The position at which the object starts.
    pub fn place(self) -> Place {
        self.document.place(self.object.range.start)
    }

    /// Reports `message` at the start of the object.
    pub fn report(self, message: impl Into<String>) {
        self.document.add(self.object.range.start, message.into());
    }

    /// The names of all fields, in file order.
    pub fn names(self) -> Vec<&'d str> {
        self.object.properties.iter().map(|prop| prop.name.as_str()).collect()
    }

    /// Returns the field, or `None` if it is absent.
    pub fn get(self, field: &str) -> Option<ValueView<'d, 'a>> {
        let prop: &'d ObjectProp<'a> =
            self.object.properties.iter().find(|prop| prop.name.as_str() == field)?;
        Some(ValueView { document: self.document, field: prop.name.as_str(), value: &prop.value })
    }

    /// Returns the field; reports it if it is absent.
    pub fn required(self, field: &str) -> Option<ValueView<'d, 'a>> {
        let value = self.get(field);
        if value.is_none() {
            self.report(format!("field \"{field}\" is missing"));
        }
        value
    }

    /// Returns the elements of an optional array field.
    pub fn list(self, field: &str) -> Vec<ValueView<'d, 'a>> {
        self.get(field).map(ValueView::elements).unwrap_or_default()
    }
}

impl<'d, 'a> ValueView<'d, 'a> {
    /// The position at which the value starts.
    pub fn place(self) -> Place {
        self.document.place(self.value.range().start)
    }

    /// Reports `message` at the value.
    pub fn report(self, message: impl Into<String>) {
        self.document.add(self.value.range().start, message.into());
    }

    fn report_expected<T>(self, expected: &str) -> Option<T> {
        self.report(format!("\"{}\" must be {expected}", self.field));
        None
    }

    /// Reads a non-empty string.
    pub fn text(self) -> Option<&'d str> {
        match self.value {
            Value::StringLit(text) if !text.value.is_empty() => Some(&text.value),
            _ => self.report_expected("text that isn't empty"),
        }
    }

    /// Returns the string; doesn't report a value of another type.
    pub fn as_text(self) -> Option<&'d str> {
        match self.value {
            Value::StringLit(text) => Some(&text.value),
            _ => None,
        }
    }

    /// Reads one of the names in `known`; reports any other name with a suggestion.
    pub fn one_of(self, known: &[&str]) -> Option<&'d str> {
        let text = self.text()?;
        if known.contains(&text) {
            return Some(text);
        }
        self.report_unknown(self.field, text, known);
        None
    }

    /// Reports that `name` isn't one of the `known` names, and suggests the most similar one.
    pub fn report_unknown(self, what: &str, name: &str, known: &[&str]) {
        let count = self.document.findings.borrow().len();
        self.report(match count < MAX_SUGGESTIONS {
            true => unknown_name(what, name, known),
            false => format!("unknown {what} \"{name}\""),
        });
    }

    /// Reads an integer within `bounds`.
    pub fn integer(self, bounds: std::ops::RangeInclusive<u64>) -> Option<u64> {
        let number = self.parse_number().filter(|number| bounds.contains(number));
        let expected = || format!("a whole number from {} to {}", bounds.start(), bounds.end());
        number.or_else(|| self.report_expected(&expected()))
    }

    /// Reads a number within `bounds`.
    pub fn number(self, bounds: std::ops::RangeInclusive<f64>) -> Option<f64> {
        let number = self.parse_number().filter(|number| bounds.contains(number));
        let expected = || format!("a number from {} to {}", bounds.start(), bounds.end());
        number.or_else(|| self.report_expected(&expected()))
    }

    fn parse_number<T: std::str::FromStr>(self) -> Option<T> {
        self.value.as_number_lit()?.value.parse().ok()
    }

    /// Reads `true` or `false`.
    pub fn boolean(self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(flag) => Some(flag.value),
            _ => self.report_expected("true or false"),
        }
    }

    /// Reads an object.
    pub fn object(self) -> Option<ObjectView<'d, 'a>> {
        match self.value {
            Value::Object(object) => Some(ObjectView { document: self.document, object }),
            _ => self.report_expected("an object"),
        }
    }

    /// Reads the elements of an array; reports a value of another type and returns no elements.
    pub fn elements(self) -> Vec<Self> {
        match self.value {
            Value::Array(Array { elements, .. }) => {
                elements.iter().map(|value| Self { value, ..self }).collect()
            }
            _ => self.report_expected("an array").unwrap_or_default(),
        }
    }
}

/// Formats an error for a `name` that isn't `known`, and suggests the most similar known name.
pub(crate) fn unknown_name(what: &str, name: &str, known: &[&str]) -> String {
    let similarity = |known: &&&str| strsim::jaro_winkler(name, known);
    let nearest = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|nearest| similarity(nearest) >= MIN_SIMILARITY);
    match nearest {
        Some(nearest) => format!("unknown {what} \"{name}\"; did you mean \"{nearest}\"?"),
        None if known.len() > MAX_NAMES_SHOWN => {
            let shown = known[..MAX_NAMES_SHOWN].join(", ");
            let more = known.len() - MAX_NAMES_SHOWN;
            format!("unknown {what} \"{name}\"; known: {shown} and {more} more")
        }
        None => format!("unknown {what} \"{name}\"; known: {}", known.join(", ")),
    }
}
