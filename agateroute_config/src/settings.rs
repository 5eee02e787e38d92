//! The settings of one instance, read at start.

section! {
    /// The settings of one instance, read at start. All other configuration is in the document.
    pub struct Settings {
        /// The name of the instance, unique in the deployment.
        #[schemars(length(min = 1))]
        pub instance: String,
        /// The availability zone that the instance runs in.
        #[schemars(length(min = 1))]
        pub zone: String,
        /// The address on which callers are served, as IP address and port.
        pub listen: String,
        /// The address on which other instances connect, as IP address and port.
        pub peer: String,
        /// The address that serves metrics, status and reports, as IP address and port.
        pub ops: String,
        /// The peer addresses of other instances, used in addition to the platform's list.
        #[serde(default)]
        pub peers: Vec<String>,
        /// The platform's services. Without them the instance serves `document` only.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub platform: Option<Platform>,
        /// A document file to serve until the platform or a peer has a newer version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub document: Option<String>,
        /// The number of threads that serve requests.
        #[serde(default = "workers")]
        #[schemars(range(min = 1, max = 256))]
        pub workers: u32,
        /// The timeout for receiving the head of a request, in milliseconds.
        #[serde(default = "head_time")]
        #[schemars(range(min = 100))]
        pub head_ms: u64,
        /// How long an idle connection from a caller is kept open, in milliseconds.
        #[serde(default = "idle_time")]
        #[schemars(range(min = 100))]
        pub idle_ms: u64,
        /// How long a leaving instance accepts requests after the notice of the document, in milliseconds. It refuses them from
        /// then on, so that callers who do not pause can not keep it from ending.
        #[serde(default = "accept_time")]
        pub accept_ms: u64,
        /// The memory that the process may use, in MB. Request bodies use at most a quarter of it.
        #[serde(default = "memory")]
        #[schemars(range(min = 64))]
        pub memory_mb: u64,
        /// The maximum number of connections of callers at once. Fewer if memory or descriptors allow fewer. Others wait until
        /// one is closed.
        #[serde(default = "connections")]
        #[schemars(range(min = 16))]
        pub connections: u32,
        /// The settings of logs, metrics and traces.
        #[serde(default)]
        pub telemetry: Telemetry,
    }

    /// The addresses of the platform's services, each as IP address and port.
    pub struct Platform {
        /// The address of the table service.
        pub table: String,
        /// The address of the object store.
        pub objects: String,
        /// The address of the list of live and leaving instances.
        pub instances: String,
        /// The address of the weight store.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub weights: Option<String>,
        /// The timeout for one response of a platform service, in milliseconds.
        #[serde(default = "platform_time")]
        #[schemars(range(min = 1))]
        pub timeout_ms: u64,
        /// The interval between reads of the configuration version, in milliseconds, with jitter.
        #[serde(default = "poll_time")]
        #[schemars(range(min = 50))]
        pub poll_ms: u64,
    }

    /// The settings of logs, metrics and traces.
    #[serde(default)]
    pub struct Telemetry {
        /// The minimum severity of logged events: error, warn, info, debug or trace.
        pub level: String,
        /// The OTLP collector for traces and metrics over gRPC, as IP address and port.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub otlp: Option<String>,
        /// The share of requests traced if the caller made no sampling decision, 0 to 1.
        #[schemars(range(min = 0.0, max = 1.0))]
        pub trace_ratio: f64,
    }
}

/// The default of `memory_mb`.
pub const DEFAULT_MEMORY_MB: u64 = 2_048;
/// The default of `connections`.
pub const DEFAULT_CONNECTIONS: u32 = 8_192;

/// The default of `accept_ms`.
pub const DEFAULT_ACCEPT_MS: u64 = 10_000;

fn accept_time() -> u64 {
    DEFAULT_ACCEPT_MS
}

fn memory() -> u64 {
    DEFAULT_MEMORY_MB
}

fn connections() -> u32 {
    DEFAULT_CONNECTIONS
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
