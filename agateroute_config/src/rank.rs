//! Ranks of work: their targets, their worth and what a flood leaves them.

section! {
    /// A rank of work. Ranks are listed from the most to the least urgent.
    pub struct Rank {
        /// The name that request kinds refer to.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The target for the first token of a generation, in milliseconds after arrival.
        #[schemars(range(min = 1))]
        pub first_token_ms: u64,
        /// The target for the time between two tokens, in milliseconds.
        #[schemars(range(min = 1))]
        pub between_tokens_ms: u64,
        /// The target for the whole answer of a plain call, in milliseconds after arrival.
        #[schemars(range(min = 1))]
        pub answer_ms: u64,
        /// The worth of one answer delivered whole and on time, relative to the other ranks.
        #[serde(default = "default_worth")]
        #[schemars(range(min = 0.0))]
        pub worth: f64,
        /// The share of each backend server that this rank keeps while more urgent work floods in,
        /// in percent.
        #[serde(default)]
        #[schemars(range(max = 100))]
        pub floor_percent: u8,
    }
}

fn default_worth() -> f64 {
    1.0
}
