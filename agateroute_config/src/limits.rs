//! Limits on requests and connections of callers.

section! {
    /// Limits on requests and connections of callers.
    #[serde(default)]
    pub struct Limits {
        /// The maximum size of a request body, in bytes.
        #[schemars(range(min = 1024, max = 67_108_864))]
        pub body_bytes: u64,
        /// The maximum number of header fields of a request.
        #[schemars(range(min = 8, max = 128))]
        pub header_count: u32,
        /// The maximum size of all header fields of a request together, in bytes.
        #[schemars(range(min = 1024, max = 131_072))]
        pub header_bytes: u64,
        /// The timeout for receiving a request body, in milliseconds.
        #[schemars(range(min = 100))]
        pub body_ms: u64,
        /// The timeout for receiving the head of a request on a route, in milliseconds.
        #[schemars(range(min = 100))]
        pub head_ms: u64,
        /// How long an idle connection from a caller of a route is kept open, in milliseconds.
        #[schemars(range(min = 100))]
        pub idle_ms: u64,
        /// The maximum length of an idempotency key, in bytes.
        #[schemars(range(min = 16, max = 1024))]
        pub key_bytes: u64,
        /// The maximum number of waiting and running requests of one organisation on one instance.
        #[schemars(range(min = 1))]
        pub organisation_requests: u32,
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 4 * 1024 * 1024,
            header_count: 64,
            header_bytes: 32 * 1024,
            body_ms: 10_000,
            head_ms: 10_000,
            idle_ms: 75_000,
            key_bytes: 255,
            organisation_requests: 4_096,
        }
    }
}
