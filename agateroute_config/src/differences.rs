//! The differences between two documents, by section and name.

use std::fmt;

use serde_json::{Map, Value};

use crate::Document;

/// A difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Difference {
    /// The section of the document: a key of its first level.
    pub section: String,
    /// The name of the entry, or the key of the value in a section without names; empty for the section as a whole.
    pub entry: String,
    /// What differs: `added`, `removed`, or the values that changed.
    pub change: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Difference { section, entry, change } = self;
        match entry.as_str() {
            "" => write!(f, "difference: {section}: {change}"),
            _ => write!(f, "difference: {section} {entry:?}: {change}"),
        }
    }
}

/// Returns what differs between two documents, sorted. The order of entries matters only in `ranks`, as their order is
/// their urgency.
pub fn differences(old: &Document, new: &Document) -> serde_json::Result<Vec<Difference>> {
    let (old, new) = (serde_json::to_value(old)?, serde_json::to_value(new)?);
    let mut found = Vec::new();
    for (section, old, new) in pairs(old.as_object(), new.as_object()) {
        // A list that is absent has the same meaning as an empty one.
        let list = |v: Option<&Value>| v.map_or(Some(Vec::new()), |v| v.as_array().cloned());
        match (list(old), list(new)) {
            (Some(old), Some(new)) => compare_lists(section, &old, &new, &mut found),
            _ => compare_values(section, old, new, &mut found),
        }
    }
    found.sort();
    Ok(found)
}

/// Returns the keys of two maps, each with its values there.
fn pairs<'a>(
    old: Option<&'a Map<String, Value>>,
    new: Option<&'a Map<String, Value>>,
) -> Vec<(&'a str, Option<&'a Value>, Option<&'a Value>)> {
    let keys = |map: Option<&'a Map<String, Value>>| map.into_iter().flat_map(Map::keys);
    let mut all: Vec<&str> = keys(old).chain(keys(new)).map(String::as_str).collect();
    all.sort_unstable();
    all.dedup();
    let value = |map: Option<&'a Map<String, Value>>, key: &str| map.and_then(|m| m.get(key));
    all.into_iter().map(|k| (k, value(old, k), value(new, k))).collect()
}

fn compare_lists(section: &str, old: &[Value], new: &[Value], found: &mut Vec<Difference>) {
    let by_name = |list: &[Value]| -> Map<String, Value> {
        list.iter().map(|v| (name_of(v).to_owned(), v.clone())).collect()
    };
    let (old_map, new_map) = (by_name(old), by_name(new));
    for (name, old, new) in pairs(Some(&old_map), Some(&new_map)) {
        let change = match (old, new) {
            (None, _) => "added".to_owned(),
            (_, None) => "removed".to_owned(),
            (Some(old), Some(new)) => changes(old, new).join(", "),
        };
        push(section, name, change, found);
    }
    if section == "ranks" {
        let kept = |list: &[Value], other: &Map<String, Value>| -> Vec<String> {
            let names = list.iter().map(|v| name_of(v).to_owned());
            names.filter(|n| other.contains_key(n)).collect()
        };
        if kept(old, &new_map) != kept(new, &old_map) {
            push(section, "", "other order of urgency".to_owned(), found);
        }
    }
}

fn compare_values(
    section: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    let (old_map, new_map) = (old.and_then(Value::as_object), new.and_then(Value::as_object));
    if old_map.is_none() && new_map.is_none() {
        push(section, "", scalar_change(old, new), found);
        return;
    }
    for (key, old, new) in pairs(old_map, new_map) {
        push(section, key, scalar_change(old, new), found);
    }
}

/// Adds a difference, unless nothing changed.
fn push(section: &str, entry: &str, change: String, found: &mut Vec<Difference>) {
    if !change.is_empty() {
        let (section, entry) = (section.to_owned(), entry.to_owned());
        found.push(Difference { section, entry, change });
    }
}

fn name_of(entry: &Value) -> &str {
    entry.get("name").and_then(Value::as_str).unwrap_or_default()
}

fn scalar_change(old: Option<&Value>, new: Option<&Value>) -> String {
    if old == new {
        return String::new();
    }
    let text = |value: Option<&Value>| value.map_or("none".to_owned(), Value::to_string);
    format!("{} -> {}", text(old), text(new))
}

/// Returns the values of an entry that changed, each after its path in the entry.
fn changes(old: &Value, new: &Value) -> Vec<String> {
    let mut all = Vec::new();
    collect_changes("", Some(old), Some(new), &mut all);
    all
}

fn collect_changes(path: &str, old: Option<&Value>, new: Option<&Value>, all: &mut Vec<String>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            for (key, old, new) in pairs(Some(old), Some(new)) {
                let path = if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
                collect_changes(&path, old, new, all);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => all.push(list_change(path, old, new)),
        _ => all.push(format!("{path} {}", scalar_change(old, new))),
    }
}

/// Names the added and removed elements of a list in an entry.
fn list_change(path: &str, old: &[Value], new: &[Value]) -> String {
    let missing = |list: &[Value], other: &[Value]| -> Vec<String> {
        let mut rest = other.to_vec();
        let mut gone = Vec::new();
        for value in list {
            match rest.iter().position(|r| r == value) {
                Some(at) => drop(rest.swap_remove(at)),
                None => gone.push(value.to_string()),
            }
        }
        gone
    };
    let (removed, added) = (missing(old, new), missing(new, old));
    let mut parts = Vec::new();
    if !removed.is_empty() {
        parts.push(format!("without {}", removed.join(" ")));
    }
    if !added.is_empty() {
        parts.push(format!("with {}", added.join(" ")));
    }
    match parts.is_empty() {
        true => format!("{path} in another order"),
        false => format!("{path} {}", parts.join(", ")),
    }
}
