//! The JSON Schemas of the document and of the settings.

use serde_json::Value;

use crate::{Document, Settings};

/// Returns the JSON Schema of the document, for editors and form-based consoles.
pub fn document_schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// Returns the JSON Schema of the instance settings.
pub fn settings_schema() -> Value {
    schemars::schema_for!(Settings).to_value()
}
