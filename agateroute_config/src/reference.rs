//! The configuration reference, rendered from the JSON Schemas.

use std::fmt::Write;

use serde_json::Value;

use crate::schema;

const INTRODUCTION: &str = "\
# Configuration

The *document* declares what a deployment serves and the share of each organisation. It is one YAML file
kept under version control and put in force by `agatectl config apply`. The *settings* are a
small YAML file for each instance. `agatectl config check` reports all problems of either at once,
with file, line, column and what to do. In a valid document it also finds entries without effect and
limits that contradict each other. This page is written by `agatectl config reference`; a test
compares it with the code.
";

/// Renders the page `docs/CONFIGURATION.md`.
pub fn reference_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    write_schema(&mut page, "The document", &schema::document_schema());
    write_schema(&mut page, "The settings of an instance", &schema::settings_schema());
    page
}

fn write_schema(page: &mut String, title: &str, schema: &Value) {
    let _ = writeln!(page, "\n## {title}\n");
    write_object(page, schema);
    let definitions = schema.get("$defs").and_then(Value::as_object);
    for (name, definition) in definitions.into_iter().flatten() {
        let _ = writeln!(page, "\n### {name}\n");
        write_object(page, definition);
    }
}

fn write_object(page: &mut String, object: &Value) {
    let _ = writeln!(page, "{}\n", one_line(object.get("description")));
    if let Some(values) = object.get("oneOf").and_then(Value::as_array) {
        for value in values {
            let name = value.get("const").map(Value::to_string).unwrap_or_default();
            let _ = writeln!(page, "- `{name}`: {}", one_line(value.get("description")));
        }
        return;
    }
    let required: Vec<&str> = object
        .get("required")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let _ = writeln!(page, "| key | type | default | meaning |\n| --- | --- | --- | --- |");
    let properties = object.get("properties").and_then(Value::as_object);
    for (key, property) in properties.into_iter().flatten() {
        let default = match property.get("default") {
            Some(Value::Object(_)) => "see its section".to_owned(),
            Some(value) => format!("`{value}`"),
            None if required.contains(&key.as_str()) => "required".to_owned(),
            None => "none".to_owned(),
        };
        let meaning = one_line(property.get("description"));
        let _ = writeln!(page, "| `{key}` | {} | {default} | {meaning} |", type_name(property));
    }
}

fn one_line(text: Option<&Value>) -> String {
    text.and_then(Value::as_str).unwrap_or_default().replace('\n', " ")
}

fn type_name(property: &Value) -> String {
    if let Some(target) = property.get("$ref").and_then(Value::as_str) {
        return target.rsplit('/').next().unwrap_or_default().to_owned();
    }
    if let Some(items) = property.get("items") {
        return format!("list of {}", type_name(items));
    }
    if let Some(options) = property.get("anyOf").and_then(Value::as_array) {
        return options.first().map(type_name).unwrap_or_default();
    }
    let name = match property.get("type") {
        Some(Value::String(name)) => name.clone(),
        Some(Value::Array(names)) => names[0].as_str().unwrap_or_default().to_owned(),
        _ => String::new(),
    };
    let bound = |key: &str| property.get(key).map(Value::to_string);
    match (bound("minimum"), bound("maximum")) {
        (Some(min), Some(max)) => format!("{name}, {min} to {max}"),
        (Some(min), None) => format!("{name}, at least {min}"),
        (None, Some(max)) => format!("{name}, at most {max}"),
        (None, None) => name,
    }
}
