//! The settings of one instance.

section! {
    /// What one instance is told at start. Everything else comes from the document.
    pub struct Settings {
        /// The name of the instance, unique in the deployment.
        #[schemars(length(min = 1))]
        pub instance: String,
        /// The availability zone that the instance runs in.
        #[schemars(length(min = 1))]
        pub zone: String,
        /// The address for callers, as IP address and port.
        pub listen: String,
        /// The address for the other instances, as IP address and port.
        pub peer: String,
        /// The address for metrics, status and reports, as IP address and port.
        pub ops: String,
        /// The peer addresses of other instances, used beside the platform's list.
        #[serde(default)]
        pub peers: Vec<String>,
        /// Where the platform's services are. Without it the instance serves `document` alone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub platform: Option<Platform>,
        /// A document to serve until the platform or a peer has a newer one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub document: Option<String>,
        /// The number of threads that serve callers.
        #[serde(default = "workers")]
        #[schemars(range(min = 1, max = 256))]
        pub workers: u32,
        /// How long a caller may take to send the head of a request, in milliseconds.
        #[serde(default = "head_time")]
        #[schemars(range(min = 100))]
        pub head_ms: u64,
        /// How long an idle connection of a caller is kept, in milliseconds.
        #[serde(default = "idle_time")]
        #[schemars(range(min = 100))]
        pub idle_ms: u64,
        /// Logs, metrics and traces.
        #[serde(default)]
        pub telemetry: Telemetry,
    }

    /// Where the platform's services are, each as IP address and port.
    pub struct Platform {
        /// The table service.
        pub table: String,
        /// The object store.
        pub objects: String,
        /// The list of live and leaving instances.
        pub instances: String,
        /// The weight store.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub weights: Option<String>,
        /// How long a platform service may take for one answer, in milliseconds.
        #[serde(default = "platform_time")]
        #[schemars(range(min = 1))]
        pub timeout_ms: u64,
        /// How often the head of the configuration is read, in milliseconds, with jitter.
        #[serde(default = "poll_time")]
        #[schemars(range(min = 50))]
        pub poll_ms: u64,
    }

    /// Logs, metrics and traces of an instance.
    #[serde(default)]
    pub struct Telemetry {
        /// The least severe level that is logged: error, warn, info, debug or trace.
        pub level: String,
        /// The OTLP collector for traces and metrics over gRPC, as IP address and port.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub otlp: Option<String>,
        /// The share of requests that are traced where the caller did not decide, 0 to 1.
        #[schemars(range(min = 0.0, max = 1.0))]
        pub trace_ratio: f64,
    }
}

fn workers() -> u32 {
    4
}

fn head_time() -> u64 {
    10_000
}

fn idle_time() -> u64 {
    75_000
}

fn platform_time() -> u64 {
    1_000
}

fn poll_time() -> u64 {
    1_000
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry { level: "info".to_owned(), otlp: None, trace_ratio: 0.01 }
    }
}
