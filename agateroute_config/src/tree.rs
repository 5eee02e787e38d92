//! A YAML document as a tree of nodes with their positions in the file.

use std::fmt;

use serde::Deserialize;
use serde::de::{self, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use serde_saphyr::Spanned;

/// A position in a YAML file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The line number, from 1.
    pub line: u64,
    /// The column number, from 1.
    pub column: u64,
}

/// A node of a YAML document with its position.
#[derive(Clone, Debug)]
pub struct Node {
    /// The position at which the node starts.
    pub position: Position,
    /// The value of the node.
    pub content: Content,
}

/// The value of a node of a YAML document.
#[derive(Clone, Debug)]
pub enum Content {
    /// A string, number, boolean or null.
    Scalar(Value),
    /// A sequence.
    List(Vec<Node>),
    /// A mapping, in the order of the file.
    Map(Vec<Field>),
}

/// An entry of a YAML mapping.
#[derive(Clone, Debug)]
pub struct Field {
    /// The key as written in the file.
    pub key: String,
    /// The position at which the key starts.
    pub position: Position,
    /// The value that belongs to the key.
    pub node: Node,
}

impl Node {
    /// Converts the tree to a JSON value without positions.
    pub fn to_value(&self) -> Value {
        match &self.content {
            Content::Scalar(value) => value.clone(),
            Content::List(items) => items.iter().map(Node::to_value).collect(),
            Content::Map(fields) => {
                let pairs = fields.iter().map(|f| (f.key.clone(), f.node.to_value()));
                Value::Object(pairs.collect())
            }
        }
    }

    /// Returns the position of the node at a JSON Pointer, or of its nearest existing ancestor.
    pub fn locate(&self, pointer: &str) -> Position {
        let mut node = self;
        let mut position = self.position;
        for step in pointer.split('/').skip(1) {
            let step = step.replace("~1", "/").replace("~0", "~");
            match node.child(&step) {
                Some((found, child)) => {
                    position = found;
                    node = child;
                }
                None => break,
            }
        }
        position
    }

    fn child(&self, step: &str) -> Option<(Position, &Node)> {
        match &self.content {
            Content::Scalar(_) => None,
            Content::List(items) => {
                let node = items.get(step.parse::<usize>().ok()?)?;
                Some((node.position, node))
            }
            Content::Map(fields) => {
                let field = fields.iter().find(|f| f.key == step)?;
                Some((field.position, &field.node))
            }
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        let spanned = Spanned::<Content>::deserialize(deserializer)?;
        Ok(Node { position: position(&spanned.referenced), content: spanned.value })
    }
}

fn position(location: &serde_saphyr::Location) -> Position {
    Position { line: location.line(), column: location.column() }
}

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Content, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Content, E> {
        Ok(Content::Scalar(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Content, E> {
        Ok(Content::Scalar(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Content, E> {
        Ok(Content::Scalar(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Content, E> {
        Ok(Content::Scalar(value.into()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Content, E> {
        Ok(Content::Scalar(value.into()))
    }

    fn visit_unit<E: de::Error>(self) -> Result<Content, E> {
        Ok(Content::Scalar(Value::Null))
    }

    fn visit_none<E: de::Error>(self) -> Result<Content, E> {
        self.visit_unit()
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Content, D::Error> {
        Content::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Content, A::Error> {
        let mut items = Vec::new();
        while let Some(node) = seq.next_element()? {
            items.push(node);
        }
        Ok(Content::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Content, A::Error> {
        let mut fields = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            let node = map.next_value()?;
            fields.push(Field { position: position(&key.referenced), key: key.value, node });
        }
        Ok(Content::Map(fields))
    }
}
