//! The header fields of callers' requests, decoded.

use http::HeaderMap;

/// The functions that decode a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct CallerAdapter {
    /// Decodes the header fields of a request. An absent or invalid field becomes `None`, and the
    /// prompt parts end at the first invalid one.
    pub decode: fn(&HeaderMap) -> RequestInfo<'_>,
    /// The name of the header field with the request id, in requests and responses.
    pub id_header: &'static str,
}

/// The decoded header fields of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo<'a> {
    /// The request id, which is new for each attempt of the caller.
    pub id: Option<&'a str>,
    /// The key that identifies the organisation.
    pub key: Option<&'a [u8]>,
    /// The time that the caller waits, counted from when it sent the request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The size of the requested generation, if the request declares one.
    pub size: Option<GenerationSize>,
    /// The parts of the prompt in order. The last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// The caller's estimate of the output length, in tokens.
    pub length_hint: Option<u32>,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The request id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<&'a str>,
}

/// The size of a generation that the caller declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationSize {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the output, in tokens.
    pub max_tokens: u32,
}

/// A part of a prompt, which several requests can share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content: equal parts have equal ids.
    pub id: u64,
    /// The length of this part, in tokens.
    pub tokens: u32,
}
