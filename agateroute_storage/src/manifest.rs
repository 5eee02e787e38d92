//! Splits a document into parts that are stored by digest, so that a change transfers only the
//! parts that it affects. See `docs/DESIGN.md`, "Configuration".

use agateroute_config::Document;
use agateroute_config::digest::hex_digest;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The lists of a document that are split into buckets by the names of their entries.
const SPLIT_LISTS: [&str; 2] = ["organisations", "servers"];
/// The maximum number of entries of a list that is stored as one part.
const MAX_UNSPLIT_ENTRIES: usize = 32;
/// The number of buckets of a split list.
const BUCKET_COUNT: u64 = 64;

/// The index of the parts of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Manifest {
    /// The sections, one for each top-level key of the document.
    pub sections: Vec<Section>,
}

/// A top-level key of the document and the digests of its parts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Section {
    /// The top-level key of the document.
    pub name: String,
    /// Whether the section is a list that is split into buckets by name.
    pub split: bool,
    /// The digests of the parts, in order.
    pub parts: Vec<String>,
}

/// A part of a document, which is stored by its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The SHA-256 digest of the body.
    pub digest: String,
    /// The body of the part, as JSON.
    pub body: String,
}

impl Part {
    /// Creates a part and computes its digest.
    pub fn new(body: String) -> Part {
        Part { digest: hex_digest(body.as_bytes()), body }
    }
}

/// Splits a document into a manifest and its parts, sorted by digest and without duplicates.
pub fn split(document: &Document) -> Result<(Manifest, Vec<Part>), serde_json::Error> {
    let value = serde_json::to_value(document)?;
    let mut manifest = Manifest::default();
    let mut parts = Vec::new();
    for (name, section) in value.as_object().into_iter().flatten() {
        let bodies = section_bodies(name, section);
        let section_parts: Vec<Part> = bodies.iter().map(|b| Part::new(b.to_string())).collect();
        manifest.sections.push(Section {
            name: name.clone(),
            split: bodies.len() > 1,
            parts: section_parts.iter().map(|p| p.digest.clone()).collect(),
        });
        parts.extend(section_parts);
    }
    parts.sort_by(|a, b| a.digest.cmp(&b.digest));
    parts.dedup();
    Ok((manifest, parts))
}

fn section_bodies(name: &str, section: &Value) -> Vec<Value> {
    match section {
        Value::Array(items) if SPLIT_LISTS.contains(&name) && items.len() > MAX_UNSPLIT_ENTRIES => {
            let mut buckets = vec![Vec::new(); BUCKET_COUNT as usize];
            for item in items {
                buckets[bucket(item)].push(item.clone());
            }
            buckets.into_iter().map(Value::Array).collect()
        }
        _ => vec![section.clone()],
    }
}

fn entry_name(item: &Value) -> &str {
    item.get("name").and_then(Value::as_str).unwrap_or_default()
}

fn bucket(item: &Value) -> usize {
    let digest = hex_digest(entry_name(item).as_bytes());
    let number = u64::from_str_radix(&digest[..8], 16).unwrap_or(0);
    (number % BUCKET_COUNT) as usize
}

/// Joins the parts of a document. `part` returns the body for a digest.
pub fn join(
    manifest: &Manifest,
    part: impl Fn(&str) -> Option<Value>,
) -> Result<Document, JoinError> {
    let mut document = Map::new();
    for section in &manifest.sections {
        let mut bodies = Vec::new();
        for digest in &section.parts {
            let body = part(digest).ok_or_else(|| JoinError::Missing(digest.clone()))?;
            bodies.push(body);
        }
        let value =
            if section.split { join_lists(bodies) } else { bodies.pop().unwrap_or_default() };
        document.insert(section.name.clone(), value);
    }
    serde_json::from_value(Value::Object(document)).map_err(|e| JoinError::Decode(e.to_string()))
}

/// Joins the buckets of a split list, sorted by name.
fn join_lists(bodies: Vec<Value>) -> Value {
    let mut items: Vec<Value> = bodies
        .into_iter()
        .flat_map(|b| if let Value::Array(items) = b { items } else { Vec::new() })
        .collect();
    items.sort_by(|a, b| entry_name(a).cmp(entry_name(b)));
    Value::Array(items)
}

/// An error of joining the parts of a document.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
pub enum JoinError {
    /// No part with this digest was found.
    #[display("part {_0} does not exist in the object store")]
    Missing(#[error(not(source))] String),
    /// The joined parts are not a valid document.
    #[display("parts do not make a document: {_0}")]
    Decode(#[error(not(source))] String),
}
