//! The derive set that every section of the document shares.

/// Derives what a section needs: parsing that refuses unknown fields, writing, and a JSON Schema.
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
