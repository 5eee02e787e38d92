//! Models, their adapters and the request kinds that use them.

section! {
    /// A model that organisations may ask for by name.
    pub struct Model {
        /// The name that callers put into the `model` field.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The version that backend servers should have loaded.
        #[schemars(length(min = 1))]
        pub version: String,
        /// The adapters of this model; callers ask for one as `model:adapter`.
        #[serde(default)]
        pub adapters: Vec<Adapter>,
        /// The longest prompt and answer together, in tokens.
        #[schemars(range(min = 1))]
        pub context_tokens: u32,
        /// The request kinds that use this model. A request without the header `Agateroute-Kind`
        /// is of the first kind.
        #[schemars(length(min = 1))]
        pub kinds: Vec<Kind>,
    }

    /// An adapter that is loaded beside its model.
    pub struct Adapter {
        /// The name that callers put behind the colon.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The version that backend servers should have loaded.
        #[schemars(length(min = 1))]
        pub version: String,
    }

    /// A kind of generation, which reports count separately.
    pub struct Kind {
        /// The name of the request kind.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The rank of its requests.
        pub rank: String,
    }
}

impl Model {
    /// Finds a request kind by name, or the first one where none is asked for.
    pub fn kind(&self, name: Option<&str>) -> Option<&Kind> {
        match name {
            Some(name) => self.kinds.iter().find(|k| k.name == name),
            None => self.kinds.first(),
        }
    }
}
