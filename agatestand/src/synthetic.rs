//! Generates documents of any size, for measurements.

use agateroute_config::digest::hex_digest;
use serde_json::{Value, json};

/// First port given to engines, none of which exist.
const FIRST_UNUSED_PORT: u32 = 30_000;
/// Number of ports given to engines.
const UNUSED_PORTS: u32 = 500;

/// Returns a document with some organisations, engines and models. Nothing listens at the addresses
/// of the engines.
pub fn document(organisations: u32, engines: u32, models: u32) -> Value {
    let model = |i| {
        json!({"name": format!("model-{i}"), "version": "1", "context_tokens": 32768,
            "kinds": [{"name": "draft", "rank": "deferrable"}, {"name": "quote", "rank": "urgent"}]})
    };
    let engine = |i: u32| {
        let port = FIRST_UNUSED_PORT + i % UNUSED_PORTS;
        json!({"name": format!("engine-{i}"), "address": format!("127.0.0.1:{port}"), "zone": "a",
            "engine": {"models": [format!("model-{}", i % models)], "memory_tokens": 100_000}})
    };
    let names: Vec<String> = (0..models).map(|i| format!("model-{i}")).collect();
    let organisation = |i| {
        let name = format!("organisation-{i}");
        json!({"name": name, "models": names, "share": 1 + i % 7,
            "keys": [{"sha256": hex_digest(format!("{name}-key").as_bytes())}]})
    };
    json!({
        "deployment": "synthetic",
        "ranks": [
            {"name": "urgent", "first_token_ms": 1200, "between_tokens_ms": 47, "answer_ms": 500},
            {"name": "deferrable", "first_token_ms": 15000, "between_tokens_ms": 47,
                "answer_ms": 15000, "floor_percent": 20},
        ],
        "models": (0..models).map(model).collect::<Vec<Value>>(),
        "servers": (0..engines).map(engine).collect::<Vec<Value>>(),
        "organisations": (0..organisations).map(organisation).collect::<Vec<Value>>(),
    })
}
