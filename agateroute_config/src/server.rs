//! Backend servers: model engines and plain services.

section! {
    /// A backend server. It has either `engine` or `plain`.
    pub struct Server {
        /// The name that logs, metrics and reports use.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The IP address and port.
        pub address: String,
        /// The availability zone.
        #[schemars(length(min = 1))]
        pub zone: String,
        /// Whether the server refuses orders and calls that carry an old fencing number.
        #[serde(default)]
        pub fencing: Fencing,
        /// What a model engine runs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub engine: Option<Engine>,
        /// What a plain server runs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub plain: Option<Plain>,
    }

    /// A model engine.
    pub struct Engine {
        /// The models that it should have loaded.
        #[schemars(length(min = 1))]
        pub models: Vec<String>,
        /// The memory for prompts and answers, in tokens.
        #[schemars(range(min = 1))]
        pub memory_tokens: u64,
        /// The most generations that it runs in one batch.
        #[serde(default = "batch")]
        #[schemars(range(min = 1))]
        pub batch: u32,
    }

    /// A plain server.
    pub struct Plain {
        /// The service that it runs.
        pub service: String,
        /// The most calls that it takes at once.
        #[serde(default = "slots")]
        #[schemars(range(min = 1))]
        pub slots: u32,
        /// Whether the limit in use adapts below that, for servers whose slots are only a guess.
        #[serde(default = "default_true")]
        pub adaptive: bool,
    }

    /// What a backend server does with an old fencing number.
    #[derive(Copy, Default, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Fencing {
        /// It runs the order all the same.
        #[default]
        Ignores,
        /// It refuses the order.
        Refuses,
    }
}

fn batch() -> u32 {
    64
}

fn default_true() -> bool {
    true
}

fn slots() -> u32 {
    32
}

impl Server {
    /// Whether this server should have a model loaded.
    pub fn runs_model(&self, model: &str) -> bool {
        self.engine.as_ref().is_some_and(|e| e.models.iter().any(|m| m == model))
    }

    /// Whether this server runs a plain service.
    pub fn runs_service(&self, service: &str) -> bool {
        self.plain.as_ref().is_some_and(|p| p.service == service)
    }
}
