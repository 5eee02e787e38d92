//! Ranks of requests: their latency targets, their value and their reserved share.

section! {
    /// A rank of requests. Ranks are listed from the most to the least urgent.
    pub struct Rank {
        /// The name that request kinds and routes refer to.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The target time from arrival to the first token of a generation, in milliseconds.
        #[schemars(range(min = 1))]
        pub first_token_ms: u64,
        /// The target time between two tokens, in milliseconds.
        #[schemars(range(min = 1))]
        pub between_tokens_ms: u64,
        /// The target time from arrival to the whole answer of a plain call, in milliseconds.
        #[schemars(range(min = 1))]
        pub answer_ms: u64,
        /// The value of one answer delivered whole and on time, relative to the other ranks.
        #[serde(default = "default_worth")]
        #[schemars(range(min = 0.0))]
        pub worth: f64,
        /// The share of each backend server that stays reserved for this rank when more urgent
        /// requests would use all of it, in percent.
        #[serde(default)]
        #[schemars(range(max = 100))]
        pub floor_percent: u8,
    }
}

fn default_worth() -> f64 {
    1.0
}
