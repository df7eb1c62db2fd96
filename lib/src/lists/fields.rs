//! Readers of fields that occur in several files.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    fmt,
};

use crate::{
    document::{ObjectView, ValueView},
    lists::MAX_NAME_BYTES,
    policy::CredentialHash,
    resources::Resources,
};

/// The prefix of a hashed credential.
const HASH_PREFIX: &str = "blake3:";

/// The maximum version of a list.
const MAX_VERSION: u64 = 1 << 53;

/// The maximum number of processors in an amount.
const MAX_PROCESSORS: f64 = 10_000_000.0;

/// The maximum memory in an amount.
const MAX_MEMORY_GIB: f64 = 100_000_000.0;

/// The maximum number of accelerators in an amount.
const MAX_ACCELERATORS: u64 = 1_000_000;

const RESOURCE_FIELDS: &[&str] = &["processors", "memory_gib", "accelerators"];

/// Reads the version of a list.
pub(super) fn version(root: ObjectView<'_, '_>) -> Option<u64> {
    root.required("version")?.integer(1..=MAX_VERSION)
}

/// Reads the elements of an optional array field; reports and drops those beyond `max`.
pub(super) fn elements<'d, 'a>(
    object: ObjectView<'d, 'a>,
    field: &str,
    max: usize,
) -> Vec<ValueView<'d, 'a>> {
    let mut elements = object.list(field);
    if let Some(surplus) = elements.get(max) {
        surplus.report(format!("\"{field}\" has {} rows; at most {max} fit", elements.len()));
    }
    elements.truncate(max);
    elements
}

/// Reads the rows of a table; reports elements that aren't objects, and rows beyond `max`.
pub(super) fn rows<'d, 'a>(
    root: ObjectView<'d, 'a>,
    field: &str,
    max: usize,
) -> Vec<ObjectView<'d, 'a>> {
    elements(root, field, max).into_iter().filter_map(ValueView::object).collect()
}

/// Adds a row; reports it if there is another one with this name.
pub(super) fn insert<K: Ord + fmt::Display, V>(
    rows: &mut BTreeMap<K, V>,
    row: ObjectView<'_, '_>,
    what: &str,
    (name, value): (K, V),
) {
    match rows.entry(name) {
        Entry::Vacant(entry) => {
            entry.insert(value);
        }
        Entry::Occupied(entry) => {
            row.report(format!("{what} \"{}\" is listed twice", entry.key()));
        }
    }
}

/// Reads an optional field; returns `None` only if it is present and invalid.
pub(super) fn optional<'d, 'a, T>(
    object: ObjectView<'d, 'a>,
    field: &str,
    default: T,
    read: impl FnOnce(ValueView<'d, 'a>) -> Option<T>,
) -> Option<T> {
    match object.get(field) {
        Some(value) => read(value),
        None => Some(default),
    }
}

/// Reads an optional integer.
pub(super) fn optional_u32(
    object: ObjectView<'_, '_>,
    field: &str,
    default: u32,
    bounds: std::ops::RangeInclusive<u64>,
) -> Option<u32> {
    optional(object, field, default, |value| u32::try_from(value.integer(bounds)?).ok())
}

/// Reads the name of a row.
pub(super) fn row_name<'d>(row: ObjectView<'d, '_>) -> Option<&'d str> {
    name(row.required("name")?)
}

/// Reads a name: lowercase letters, digits and hyphens, at most [`MAX_NAME_BYTES`] long.
pub(crate) fn name<'d>(value: ValueView<'d, '_>) -> Option<&'d str> {
    let text = value.text()?;
    if is_name(text) {
        return Some(text);
    }
    value.report(invalid_name(text));
    None
}

/// Whether `text` is a valid name.
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Formats an error for a `text` that isn't a valid name.
pub(super) fn invalid_name(text: &str) -> String {
    match text.len() <= MAX_NAME_BYTES {
        true => format!("name \"{text}\" may only have the letters a-z, digits and hyphens"),
        false => format!("a name has at most {MAX_NAME_BYTES} bytes; this one has {}", text.len()),
    }
}

/// Reads a hashed credential, written as `blake3:<64 hex digits>`.
pub(crate) fn credential(row: ObjectView<'_, '_>) -> Option<CredentialHash> {
    let value = row.required("credential")?;
    let hex = value.text()?.strip_prefix(HASH_PREFIX);
    let hash = hex.and_then(|hex| blake3::Hash::from_hex(hex).ok());
    if hash.is_none() {
        value.report(
            "\"credential\" must be \"blake3:\" and 64 hex digits, never the plain text; \
             `hickorylink credential hash` makes it",
        );
    }
    hash.map(|hash| CredentialHash { digest: *hash.as_bytes() })
}

/// Reads an amount of resources; absent dimensions are zero, and memory is rounded up to whole MiB.
pub(super) fn resources(value: ValueView<'_, '_>) -> Option<Resources> {
    let object = value.object()?.allow_only(RESOURCE_FIELDS);
    let processors = optional(object, "processors", 0.0, |v| v.number(0.0..=MAX_PROCESSORS));
    let memory = optional(object, "memory_gib", 0.0, |v| v.number(0.0..=MAX_MEMORY_GIB));
    let accelerators = optional(object, "accelerators", 0, |v| v.integer(0..=MAX_ACCELERATORS));
    Some(Resources {
        millicores: (processors? * 1000.0).round() as u64,
        memory_mib: (memory? * 1024.0).ceil() as u64,
        accelerators: u32::try_from(accelerators?).ok()?,
    })
}
