//! Routes, which assign requests to services by host and path, and set their targets and timeouts.

section! {
    /// A route. Of the routes of a host, the one with the longest matching prefix applies.
    pub struct Route {
        /// The name in logs, metrics and reports.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The host of the requests, in lower case and without a port.
        #[schemars(length(min = 1))]
        pub host: String,
        /// The path prefix of the requests. It begins and ends with a slash.
        #[schemars(regex(pattern = "^/(.*/)?$"))]
        pub prefix: String,
        /// Whether requests may be repeated, and whether the answer is a stream.
        pub kind: RouteKind,
        /// The models or services that serve the requests, in proportion to the weights.
        #[schemars(length(min = 1))]
        pub targets: Vec<RouteTarget>,
        /// The rank of its requests.
        pub rank: String,
        /// The maximum number of backend servers that may start one request.
        #[serde(default = "default_one")]
        #[schemars(range(min = 1))]
        pub attempts: u32,
        /// The timeout for the whole answer, in milliseconds.
        #[schemars(range(min = 1))]
        pub timeout_ms: u64,
        /// The target time to the answer, or to the first event of a stream, in milliseconds.
        #[schemars(range(min = 1))]
        pub target_ms: u64,
        /// The target time between two events of a stream, in milliseconds; 0 for none.
        #[serde(default)]
        pub gap_ms: u64,
        /// Whether requests need no key.
        #[serde(default)]
        pub public: bool,
    }

    /// Whether requests of a route may be repeated, and whether the answer is a stream.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RouteKind {
        /// Requests are idempotent: running one twice does no harm.
        Repeatable,
        /// The answer is a stream, and the request runs at most once.
        Stream,
        /// The answer is a stream that another backend server can continue after its last event.
        ResumableStream,
        /// A request runs at most once.
        // Stands for the kinds of a later build too, since it is safe for every kind.
        #[serde(other)]
        Once,
    }

    /// A target of a route, with its weight.
    pub struct RouteTarget {
        /// The name of a model or plain service.
        pub service: String,
        /// Its share of the requests, relative to the other targets.
        #[serde(default = "default_one")]
        pub weight: u32,
    }
}

fn default_one() -> u32 {
    1
}

impl RouteKind {
    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request may run on a second backend server after the first one has started it.
    pub fn repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::ResumableStream)
    }
}
