//! Readers of the fields that the lists have in common.

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

/// What a credential's hash starts with.
const HASH_PREFIX: &str = "blake3:";

/// The largest version of a list.
const MAX_VERSION: u64 = 1 << 53;

/// The most processors in an amount.
const MAX_PROCESSORS: f64 = 10_000_000.0;

/// The most memory in an amount, in GiB.
const MAX_MEMORY_GIB: f64 = 100_000_000.0;

/// The most accelerators in an amount.
const MAX_ACCELERATORS: u64 = 1_000_000;

const RESOURCE_FIELDS: &[&str] = &["processors", "memory_gib", "accelerators"];

/// A list's version.
pub(super) fn version(root: ObjectView<'_, '_>) -> Option<u64> {
    root.required("version")?.integer(1..=MAX_VERSION)
}

/// The elements of a field that may be left out; what goes past `max` is reported.
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

/// The rows of a table; what isn't an object or goes past `max` is reported.
pub(super) fn rows<'d, 'a>(
    root: ObjectView<'d, 'a>,
    field: &str,
    max: usize,
) -> Vec<ObjectView<'d, 'a>> {
    elements(root, field, max).into_iter().filter_map(ValueView::object).collect()
}

/// Adds a row, or reports that its name is taken.
pub(super) fn insert<K: Ord + fmt::Display, V>(
    rows: &mut BTreeMap<K, V>,
    row: ObjectView<'_, '_>,
    what: &str,
    (name, value): (K, V),
) {
    match rows.entry(name) {
        Entry::Vacant(free) => {
            free.insert(value);
        }
        Entry::Occupied(taken) => {
            row.report(format!("{what} \"{}\" is listed twice", taken.key()));
        }
    }
}

/// The value of a field that may be left out; `None` only if it is there and wrong.
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

/// A whole number that may be left out.
pub(super) fn optional_u32(
    object: ObjectView<'_, '_>,
    field: &str,
    default: u32,
    bounds: std::ops::RangeInclusive<u64>,
) -> Option<u32> {
    optional(object, field, default, |value| u32::try_from(value.integer(bounds)?).ok())
}

/// The row's name.
pub(super) fn row_name<'d>(row: ObjectView<'d, '_>) -> Option<&'d str> {
    name(row.required("name")?)
}

/// A name: small letters, digits and hyphens, no longer than [`MAX_NAME_BYTES`].
pub(crate) fn name<'d>(value: ValueView<'d, '_>) -> Option<&'d str> {
    let text = value.text()?;
    if is_name(text) {
        return Some(text);
    }
    value.report(invalid_name(text));
    None
}

/// Whether `text` is a name.
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Says why `text` isn't a name.
pub(super) fn invalid_name(text: &str) -> String {
    match text.len() <= MAX_NAME_BYTES {
        true => format!("name \"{text}\" may only have the letters a-z, digits and hyphens"),
        false => format!("a name has at most {MAX_NAME_BYTES} bytes; this one has {}", text.len()),
    }
}

/// The hash of a credential, written `blake3:<64 hex digits>`.
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

/// An amount; a dimension that is left out is zero, and part of a MiB counts as a whole one.
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
