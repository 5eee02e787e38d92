//! Backend servers: model engines and plain servers.

section! {
    /// A backend server. Exactly one of `engine` and `plain` is set.
    pub struct Server {
        /// The name in logs, metrics and reports.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The IP address and port.
        pub address: String,
        /// The availability zone.
        #[schemars(length(min = 1))]
        pub zone: String,
        /// The version of its software, empty if it is not known. A stream goes on only at the version that began it.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub version: String,
        /// When it started, in milliseconds since 1970; 0 if it is not known. Documents do not name it, lists of servers do.
        #[serde(skip)]
        pub start_ms: u64,
        /// Whether the server refuses load orders and calls with an outdated fencing number.
        #[serde(default)]
        pub fencing: Fencing,
        /// The settings of a model engine.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub engine: Option<Engine>,
        /// The settings of a plain server.
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
        /// The maximum number of generations in one batch.
        #[serde(default = "batch")]
        #[schemars(range(min = 1))]
        pub batch: u32,
    }

    /// A plain server.
    pub struct Plain {
        /// The service that it runs.
        pub service: String,
        /// The maximum number of concurrent calls.
        #[serde(default = "slots")]
        #[schemars(range(min = 1))]
        pub slots: u32,
        /// Whether the limit in use adapts below `slots`, for servers whose slots are an estimate.
        #[serde(default = "default_true")]
        pub adaptive: bool,
    }

    /// How a backend server handles an outdated fencing number.
    #[derive(Copy, Default, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Fencing {
        /// The server refuses the load order or call.
        Refuses,
        /// The server ignores the number and runs the load order or call.
        // Stands for the values of a later build too.
        #[default]
        #[serde(other)]
        Ignores,
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
