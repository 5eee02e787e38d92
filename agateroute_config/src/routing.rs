//! Parameters of routing, timeouts and retries.

section! {
    /// Parameters of routing. The defaults suit deployments of a few dozen backend servers.
    #[serde(default)]
    pub struct Routing {
        /// The timeout for connecting to a backend server, in milliseconds.
        #[schemars(range(min = 1))]
        pub connect_ms: u64,
        /// The timeout for a backend server to accept a generation, in milliseconds.
        #[schemars(range(min = 1))]
        pub start_ms: u64,
        /// How long a stream may be silent before its connection counts as cut, in milliseconds.
        #[schemars(range(min = 1))]
        pub silence_ms: u64,
        /// How often a cut stream is resumed without a new token before the generation is given up.
        #[schemars(range(max = 16))]
        pub resumes: u32,
        /// How often a request that has produced no output is restarted on another backend server.
        #[schemars(range(max = 8))]
        pub retries: u32,
        /// The retry budget of instances for each target and window, in percent of the requests
        /// that arrive for it.
        #[schemars(range(max = 100))]
        pub retry_percent: u8,
        /// The retries in addition to `retry_percent`, per target and window, over all instances.
        pub retry_slack: u32,
        /// The length of the window of the retry budget, in milliseconds.
        #[schemars(range(min = 100))]
        pub retry_window_ms: u64,
        /// The number of crashes after which a request that ran on the crashed servers is refused.
        #[schemars(range(min = 1))]
        pub quarantine_crashes: u32,
        /// Whether a request whose backend server crashed runs alone on the next server.
        pub suspects_alone: bool,
        /// The interval between reads of the load report of a backend server, in milliseconds.
        #[schemars(range(min = 10))]
        pub report_ms: u64,
        /// The interval at which the owner of a backend server sends its load to recent requesters
        /// of permits, in milliseconds. Raise it in proportion to the number of instances.
        #[schemars(range(min = 10))]
        pub load_ms: u64,
        /// How long a peer may be silent before it counts as gone, in milliseconds.
        #[schemars(range(min = 100))]
        pub peer_ms: u64,
        /// The share of a backend server's memory that an instance may fill without permits while
        /// the owner of the server does not respond, in percent.
        #[schemars(range(min = 1, max = 100))]
        pub fallback_percent: u8,
        /// The memory kept free on an engine, as a number of standard deviations. It bounds the
        /// probability that the running generations outgrow the memory.
        #[schemars(range(min = 0.0, max = 8.0))]
        pub deviations: f64,
        /// The maximum length of unread prompts on one engine at a time, in tokens; 0 for no limit.
        /// Further requests wait for a permit.
        pub unread_tokens: u32,
        /// Whether owners plan the capacity of their servers ahead: requests that can not be served in time are refused at once
        /// with a time to come back, and moves away from leaving servers are ordered by what is lost.
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        pub plan_capacity: bool,
        /// How long an instance that is stopping still accepts new requests, in milliseconds.
        pub notice_ms: u64,
        /// The interval at which tallies are written to the table service, in milliseconds.
        #[schemars(range(min = 100))]
        pub tally_ms: u64,
        /// How long the record of a call that may not be repeated is kept, in hours.
        #[schemars(range(min = 24))]
        pub record_hours: u32,
        /// How long a second call with the same idempotency key waits for the answer to the first,
        /// in milliseconds.
        pub repeat_ms: u64,
        /// The timeout for a claim in the table service, in milliseconds. If it passes, the call is
        /// refused as not run.
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
            plan_capacity: false,
            notice_ms: 2_000,
            tally_ms: 10_000,
            record_hours: 48,
            repeat_ms: 10_000,
            claim_ms: 200,
        }
    }
}
