//! What a load run sends, as a YAML file.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A load run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// The seed of arrivals and prompts.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// The streams of arrivals.
    pub flows: Vec<Flow>,
}

/// One organisation's requests of default_seed kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// The organisation, for the report.
    pub organisation: String,
    /// The bearer key.
    #[serde(default)]
    pub key: String,
    /// The request kind.
    pub kind: String,
    /// The rank, for the report.
    pub rank: String,
    /// The requests in a second, on average.
    pub rate: f64,
    /// When the flow starts, in seconds after the run.
    #[serde(default)]
    pub from: f64,
    /// When it ends, in seconds after the start of the run; 0 for the end of the run.
    #[serde(default)]
    pub until: f64,
    /// Whether all of it goes to one target.
    #[serde(default)]
    pub pinned: bool,
    /// What is asked for.
    #[serde(rename = "ask")]
    pub payload: Payload,
    /// The targets that make an answer count as on time.
    pub targets: Targets,
}

/// What a request asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Payload {
    /// A streamed generation.
    Generation {
        /// The model.
        model: String,
        /// The prompt, in tokens.
        prompt: usize,
        /// The most tokens, 0 for no limit.
        #[serde(default, rename = "most")]
        max_tokens: u64,
        /// A text that is put into the prompt.
        #[serde(default)]
        mark: String,
    },
    /// A plain call.
    Call {
        /// The service.
        service: String,
        /// The method.
        method: String,
        /// The path below the service.
        path: String,
        /// Whether the call carries an idempotency key.
        #[serde(default)]
        keyed: bool,
    },
}

/// The targets of a flow, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// For the first token.
    pub first_token_ms: u64,
    /// For the time between two tokens.
    pub between_tokens_ms: u64,
    /// For a whole plain answer.
    pub answer_ms: u64,
}

impl Targets {
    /// The target for the first token.
    pub fn first(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// The target for the time between two tokens.
    pub fn between(&self) -> Duration {
        Duration::from_millis(self.between_tokens_ms)
    }

    /// The target for a whole plain answer.
    pub fn answer(&self) -> Duration {
        Duration::from_millis(self.answer_ms)
    }
}

fn default_seed() -> u64 {
    1
}
