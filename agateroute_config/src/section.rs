//! The derives shared by all sections of the document and the settings.

/// Derives parsing, serialisation, and a JSON Schema. The schema alone rejects unknown fields, and files of operators are checked
/// by it. Parsing ignores them, since documents also come from instances of a later build.
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
            #[schemars(deny_unknown_fields)]
            $item
        )*
    };
}
