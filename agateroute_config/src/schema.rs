//! The JSON Schema of the document and of the settings.

use serde_json::Value;

use crate::{Document, Settings};

/// The JSON Schema of the document, for editors and the console of forms.
pub fn document_schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// The JSON Schema of the instance settings.
pub fn settings_schema() -> Value {
    schemars::schema_for!(Settings).to_value()
}
