//! Assembles the chunks of a generation into one answer, for callers that did not request a stream.

use serde_json::{Map, Value, json};

use crate::engine::Usage;

/// Accumulates the chunks of a generation.
#[derive(Debug, Default)]
pub struct AnswerCollector {
    head: Map<String, Value>,
    text: String,
    message: Map<String, Value>,
    tool_calls: Vec<Value>,
    finish: Value,
}

impl AnswerCollector {
    /// Adds a chunk, given as the JSON data of its event.
    pub fn add(&mut self, data: &str) -> serde_json::Result<()> {
        let mut chunk: Map<String, Value> = serde_json::from_str(data)?;
        let choices = chunk.remove("choices");
        if self.head.is_empty() {
            chunk.retain(|key, _| !matches!(key.as_str(), "token_index" | "token_count" | "usage"));
            self.head = chunk;
        }
        let choice = choices.as_ref().and_then(|c| c.get(0));
        if let Some(choice) = choice {
            self.add_choice(choice);
        }
        Ok(())
    }

    fn add_choice(&mut self, choice: &Value) {
        if let Some(text) = choice.get("text").and_then(Value::as_str) {
            self.text.push_str(text);
        }
        if let Some(finish) = choice.get("finish_reason").filter(|f| !f.is_null()) {
            self.finish = finish.clone();
        }
        let delta = choice.get("delta").and_then(Value::as_object);
        for (key, value) in delta.into_iter().flatten() {
            match (key.as_str(), value) {
                ("tool_calls", Value::Array(calls)) => self.add_tool_calls(calls),
                (_, Value::Null) => {}
                _ => append(&mut self.message, key, value),
            }
        }
    }

    fn add_tool_calls(&mut self, calls: &[Value]) {
        for call in calls {
            let index = call.get("index").and_then(Value::as_u64).unwrap_or(0) as usize;
            if index > self.tool_calls.len() {
                continue;
            }
            if index == self.tool_calls.len() {
                self.tool_calls.push(json!({}));
            }
            merge(&mut self.tool_calls[index], call);
        }
    }

    /// Builds the answer from all chunks, in the form of chat completions or of text completions.
    pub fn finish(mut self, chat: bool, usage: Option<Usage>) -> Value {
        let choice = if chat {
            self.message.entry("role").or_insert_with(|| "assistant".into());
            self.message.entry("content").or_insert(Value::Null);
            if !self.tool_calls.is_empty() {
                self.message.insert("tool_calls".into(), Value::Array(self.tool_calls));
            }
            json!({"index": 0, "message": self.message, "finish_reason": self.finish, "logprobs": null})
        } else {
            json!({"index": 0, "text": self.text, "finish_reason": self.finish, "logprobs": null})
        };
        let object = if chat { "chat.completion" } else { "text_completion" };
        self.head.insert("object".into(), object.into());
        self.head.insert("choices".into(), json!([choice]));
        let usage = usage.unwrap_or_default();
        let total = usage.prompt_tokens + usage.completion_tokens;
        self.head.insert(
            "usage".into(),
            json!({
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": total,
            }),
        );
        Value::Object(self.head)
    }
}

/// Appends a string to an existing one, except for roles; other values replace the existing one.
fn append(target: &mut Map<String, Value>, key: &str, value: &Value) {
    match (target.get_mut(key), value) {
        (Some(Value::String(text)), Value::String(more)) if key != "role" => text.push_str(more),
        _ => {
            target.insert(key.to_owned(), value.clone());
        }
    }
}

/// Merges the delta of a tool call into the call so far.
fn merge(target: &mut Value, delta: &Value) {
    let (Value::Object(target), Value::Object(delta)) = (target, delta) else { return };
    for (key, value) in delta {
        match value {
            Value::Object(_) => merge(target.entry(key).or_insert_with(|| json!({})), value),
            Value::String(_) if key == "arguments" => append(target, key, value),
            _ => {
                target.insert(key.clone(), value.clone());
            }
        }
    }
}
