//! The constants of routing, time limits and retries.

section! {
    /// Constants of routing. The defaults suit deployments of a few dozen backend servers.
    #[serde(default)]
    pub struct Routing {
        /// How long a connection to a backend server may take, in milliseconds.
        #[schemars(range(min = 1))]
        pub connect_ms: u64,
        /// How long a backend server may take to answer a start order, in milliseconds.
        #[schemars(range(min = 1))]
        pub start_ms: u64,
        /// How long a stream may be silent before its link counts as cut, in milliseconds.
        #[schemars(range(min = 1))]
        pub silence_ms: u64,
        /// How often a cut link is resumed for one generation.
        #[schemars(range(max = 16))]
        pub resumes: u32,
        /// How often a request that has produced nothing is started on another backend server.
        #[schemars(range(max = 8))]
        pub retries: u32,
        /// The retries that instances may spend on a target in each window, in percent of the
        /// requests that arrive for it.
        #[schemars(range(max = 100))]
        pub retry_percent: u8,
        /// The retries beside that share, for each target in each window and over all instances.
        pub retry_slack: u32,
        /// The length of the window, in milliseconds.
        #[schemars(range(min = 100))]
        pub retry_window_ms: u64,
        /// The crashes of backend servers under a request after which it is refused.
        #[schemars(range(min = 1))]
        pub quarantine_crashes: u32,
        /// Whether a request runs alone on its server after a crash under it.
        pub suspects_alone: bool,
        /// How often load reports are read, in milliseconds.
        #[schemars(range(min = 10))]
        pub report_ms: u64,
        /// How often an owner tells the load of a backend server to the instances that asked for it
        /// lately, in milliseconds. Raise it in proportion to the number of instances.
        #[schemars(range(min = 10))]
        pub load_ms: u64,
        /// The silence after which a peer counts as gone, in milliseconds.
        #[schemars(range(min = 100))]
        pub peer_ms: u64,
        /// The share of a backend server's memory that an instance fills on its own view while the
        /// owner of the server does not answer, in percent.
        #[schemars(range(min = 1, max = 100))]
        pub fallback_percent: u8,
        /// The bound on the probability that what runs on an engine outgrows its memory, as the
        /// number of standard deviations kept free.
        #[schemars(range(min = 0.0, max = 8.0))]
        pub deviations: f64,
        /// The prompts that one engine is given to read at a time, in tokens; 0 for no bound. What is
        /// beyond waits for a permit.
        pub unread_tokens: u32,
        /// How long an instance that was told to stop keeps serving new requests, in milliseconds.
        pub notice_ms: u64,
        /// How often tallies are written to the table service, in milliseconds.
        #[schemars(range(min = 100))]
        pub tally_ms: u64,
        /// How long the record of a call that may not be repeated is kept, in hours.
        #[schemars(range(min = 24))]
        pub record_hours: u32,
        /// How long a second call with the same idempotency key waits for the answer of the first,
        /// in milliseconds.
        pub repeat_ms: u64,
        /// How long the table service may take for a claim before the call is refused as not run,
        /// in milliseconds.
        #[schemars(range(min = 10))]
        pub claim_ms: u64,
    }
}

impl Default for Routing {
    fn default() -> Routing {
        Routing {
            connect_ms: 500,
            start_ms: 10_000,
            silence_ms: 5_000,
            resumes: 3,
            retries: 2,
            retry_percent: 10,
            retry_slack: 10,
            retry_window_ms: 10_000,
            quarantine_crashes: 2,
            suspects_alone: true,
            report_ms: 500,
            load_ms: 100,
            peer_ms: 2_000,
            fallback_percent: 25,
            deviations: 2.0,
            unread_tokens: 0,
            notice_ms: 2_000,
            tally_ms: 10_000,
            record_hours: 48,
            repeat_ms: 10_000,
            claim_ms: 200,
        }
    }
}
