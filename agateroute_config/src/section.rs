//! The derives shared by all sections of the document and the settings.

/// Derives parsing that rejects unknown fields, serialisation, and a JSON Schema.
macro_rules! section {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone,
                Debug,
                PartialEq,
                serde::Deserialize,
                serde::Serialize,
                schemars::JsonSchema,
            )]
            #[serde(deny_unknown_fields)]
            $item
        )*
    };
}
