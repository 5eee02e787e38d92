//! File format of `agatestand load`: a YAML description of the requests to send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Description of a load run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// Seed of arrivals and prompts.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Independent streams of arrivals.
    pub flows: Vec<Flow>,
}

/// Requests of one kind by one organisation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Name of the organisation in the results.
    pub organisation: String,
    /// API key, sent as a bearer token.
    #[serde(default)]
    pub key: String,
    /// Request kind, sent as the `agateroute-kind` header.
    pub kind: String,
    /// Name of the rank in the results.
    pub rank: String,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Start of the flow, in seconds after the start of the run.
    #[serde(default)]
    pub from: f64,
    /// End of the flow, in seconds after the start of the run; 0 for the end of the run.
    #[serde(default)]
    pub until: f64,
    /// Whether all requests go to the first target.
    #[serde(default)]
    pub pinned: bool,
    /// Kind and size of the requests.
    #[serde(rename = "ask")]
    pub payload: Payload,
    /// Latency targets for an answer that counts as on time.
    pub targets: Targets,
}

/// Kind and size of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Payload {
    /// Generation by a model, answered as a stream.
    Generation {
        /// Name of the model.
        model: String,
        /// Length of the prompt, in tokens.
        prompt: usize,
        /// Maximum number of generated tokens, 0 for no limit.
        #[serde(default, rename = "most")]
        max_tokens: u64,
        /// Text inserted into the prompt, such as one that crashes an engine.
        #[serde(default)]
        mark: String,
    },
    /// Plain call of a service.
    Call {
        /// Name of the service.
        service: String,
        /// HTTP method.
        method: String,
        /// Path below the path of the service.
        path: String,
        /// Whether each call carries an idempotency key of its own.
        #[serde(default)]
        keyed: bool,
    },
}

/// Latency targets of a flow, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Target for the time to the first token.
    pub first_token_ms: u64,
    /// Target for the time between two tokens.
    pub between_tokens_ms: u64,
    /// Target for the time to the complete answer of a plain call.
    pub answer_ms: u64,
}

impl Targets {
    /// Returns the target for the time to the first token.
    pub fn first(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Returns the target for the time between two tokens.
    pub fn between(&self) -> Duration {
        Duration::from_millis(self.between_tokens_ms)
    }

    /// Returns the target for a complete plain answer.
    pub fn answer(&self) -> Duration {
        Duration::from_millis(self.answer_ms)
    }
}

fn default_seed() -> u64 {
    1
}
