//! Routes: which requests go where by host and path, and what is promised to them.

section! {
    /// A route. Among the routes of a host the one with the longest matching prefix counts.
    pub struct Route {
        /// The name that logs, metrics and reports use.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The host that callers name, in lower case and without a port.
        #[schemars(length(min = 1))]
        pub host: String,
        /// The start of the path. It begins and ends with a slash.
        #[schemars(regex(pattern = "^/(.*/)?$"))]
        pub prefix: String,
        /// What may be repeated, and whether the answer is a stream.
        pub kind: RouteKind,
        /// Where requests go, in proportion to the weights.
        #[schemars(length(min = 1))]
        pub targets: Vec<RouteTarget>,
        /// The rank of its requests.
        pub rank: String,
        /// The most backend servers that may begin one request.
        #[serde(default = "default_one")]
        #[schemars(range(min = 1))]
        pub attempts: u32,
        /// The longest time that a caller is kept waiting for the whole answer, in milliseconds.
        #[schemars(range(min = 1))]
        pub timeout_ms: u64,
        /// The target for the answer, or for the first event of a stream, in milliseconds.
        #[schemars(range(min = 1))]
        pub target_ms: u64,
        /// The target for the pause between two events, in milliseconds; 0 for none.
        #[serde(default)]
        pub gap_ms: u64,
        /// Whether requests need no key.
        #[serde(default)]
        pub public: bool,
    }

    /// What may be repeated on a route.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RouteKind {
        /// Running a request twice does no harm.
        Repeatable,
        /// A request runs at most once.
        Once,
        /// A stream that runs at most once.
        Stream,
        /// A stream that another backend server can continue after its last event.
        ResumableStream,
    }

    /// One of the targets of a route.
    pub struct RouteTarget {
        /// The model or plain service.
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

    /// Whether a request may run on a second backend server after one has begun it.
    pub fn repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::ResumableStream)
    }
}
