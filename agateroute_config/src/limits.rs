//! Limits on what a caller may send.

section! {
    /// Limits on one request of a caller.
    #[serde(default)]
    pub struct Limits {
        /// The longest body, in bytes.
        #[schemars(range(min = 1024, max = 67_108_864))]
        pub body_bytes: u64,
        /// The most header fields.
        #[schemars(range(min = 8, max = 128))]
        pub header_count: u32,
        /// The size of all header fields together, in bytes.
        #[schemars(range(min = 1024, max = 131_072))]
        pub header_bytes: u64,
        /// How long a caller may take to send its body, in milliseconds.
        #[schemars(range(min = 100))]
        pub body_ms: u64,
        /// How long a caller of a route may take to send the head of a request, in milliseconds.
        #[schemars(range(min = 100))]
        pub head_ms: u64,
        /// How long an idle connection of a caller of a route is kept, in milliseconds.
        #[schemars(range(min = 100))]
        pub idle_ms: u64,
        /// The longest idempotency key, in bytes.
        #[schemars(range(min = 16, max = 1024))]
        pub key_bytes: u64,
        /// The most requests of one organisation that one instance holds at a time, waiting and running.
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
