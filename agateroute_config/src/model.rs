//! Models, their adapters and the request kinds that use them.

section! {
    /// A model that organisations can request by name.
    pub struct Model {
        /// The name of the model in the `model` field of requests.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The version that backend servers should have loaded.
        #[schemars(length(min = 1))]
        pub version: String,
        /// The adapters of this model, requested as `model:adapter`.
        #[serde(default)]
        pub adapters: Vec<Adapter>,
        /// The maximum length of prompt and answer together, in tokens.
        #[schemars(range(min = 1))]
        pub context_tokens: u32,
        /// The request kinds that use this model. The first one applies to requests without the
        /// header `Agateroute-Kind`.
        #[schemars(length(min = 1))]
        pub kinds: Vec<Kind>,
    }

    /// An adapter that is loaded in addition to its model.
    pub struct Adapter {
        /// The name after the colon in the `model` field of requests.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The version that backend servers should have loaded.
        #[schemars(length(min = 1))]
        pub version: String,
    }

    /// A request kind of a model. Reports count each kind separately.
    pub struct Kind {
        /// The name of the request kind.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The rank of its requests.
        pub rank: String,
    }
}

impl Model {
    /// Finds a request kind by name, or returns the first one if no name is given.
    pub fn kind(&self, name: Option<&str>) -> Option<&Kind> {
        match name {
            Some(name) => self.kinds.iter().find(|k| k.name == name),
            None => self.kinds.first(),
        }
    }
}
