//! What a request of a caller says about itself.

use http::HeaderMap;

/// The functions that read a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct CallerAdapter {
    /// Reads the header fields of a request.
    pub read: fn(&HeaderMap) -> RequestInfo<'_>,
    /// The name of the header field that carries the request id, in requests and in answers.
    pub id_header: &'static str,
}

/// What the header fields of a request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo<'a> {
    /// The id of this attempt of the caller.
    pub id: Option<&'a str>,
    /// The key that names the organisation.
    pub key: Option<&'a [u8]>,
    /// How long the caller waits from the moment at which it sent the request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The prompt and the most output of a generation.
    pub size: Option<GenerationSize>,
    /// The parts of the prompt in order, the last of which is the request's own.
    pub parts: Vec<PromptPart>,
    /// The caller's guess at the length of the output, in tokens.
    pub length_hint: Option<u32>,
    /// The id of the last event that the caller already has, where it resumes a stream.
    pub last_event: Option<u64>,
}

/// The size of a generation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationSize {
    /// The prompt.
    pub prompt: u32,
    /// The most output.
    pub max_tokens: u32,
}

/// A part of a prompt that requests can share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the content of the part.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}
