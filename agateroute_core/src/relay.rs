//! Checks the token stream of one generation between backend server and caller.
//!
//! Each chunk names its generation and the index of its first token. The relay only forwards the next
//! expected index, so that a caller gets each token once, in order and from one generation. See
//! `docs/DESIGN.md`, "Streams".

record! {
    /// An input from the backend server's stream.
    pub enum StreamInput<'a> {
        /// A chunk of the stream.
        Chunk {
            /// The identifier of the generation, as named in the chunk.
            generation: &'a str,
            /// The index of the first token.
            index: u64,
            /// The number of tokens; 0 for chunks that only carry a role or the end.
            count: u64,
            /// Whether this is the last chunk of the generation.
            last: bool,
        },
        /// The marker at the end of the stream.
        EndMark,
        /// The connection ended, failed or was silent for too long.
        Cut,
    }
}

value! {
    /// How to proceed after an input.
    pub enum Action {
        /// Forward the chunk to the caller.
        Forward,
        /// Drop the chunk: it was forwarded before, or belongs to another generation.
        Drop,
        /// End the stream, which is complete.
        Finish,
        /// Request the generation from the same server again, starting at this index.
        Resume(u64),
        /// Give up: the generation can not be resumed.
        Lost,
    }
}

/// The state of one relayed token stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    generation: String,
    next_index: u64,
    ended: bool,
    max_resumes: u32,
    resumes_left: u32,
    foreign_chunks: u32,
}

/// The number of chunks of other generations after which the generation counts as lost.
const MAX_FOREIGN_CHUNKS: u32 = 3;

impl Relay {
    /// Creates a relay that waits for the first token and resumes at most `max_resumes` times in a row
    /// without progress.
    pub fn new(generation: impl Into<String>, max_resumes: u32) -> Relay {
        Relay {
            generation: generation.into(),
            next_index: 0,
            ended: false,
            max_resumes,
            resumes_left: max_resumes,
            foreign_chunks: 0,
        }
    }

    /// Returns the number of tokens forwarded so far.
    pub fn tokens(&self) -> u64 {
        self.next_index
    }

    /// Returns the identifier of the relayed generation.
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Applies an input and returns how to proceed.
    pub fn apply(&mut self, input: &StreamInput<'_>) -> Action {
        match *input {
            StreamInput::Chunk { generation, .. } if generation != self.generation => {
                self.reject_foreign()
            }
            StreamInput::Chunk { index, count, last, .. } => self.apply_chunk(index, count, last),
            StreamInput::EndMark if self.ended => Action::Finish,
            StreamInput::EndMark | StreamInput::Cut => self.resume_or_give_up(),
        }
    }

    fn reject_foreign(&mut self) -> Action {
        self.foreign_chunks += 1;
        if self.foreign_chunks >= MAX_FOREIGN_CHUNKS { Action::Lost } else { Action::Drop }
    }

    fn apply_chunk(&mut self, index: u64, count: u64, last: bool) -> Action {
        let repeated = index < self.next_index || self.ended;
        if repeated && index + count <= self.next_index {
            return Action::Drop;
        }
        if index != self.next_index || self.ended {
            return self.resume_or_give_up();
        }
        self.next_index += count;
        if count > 0 {
            self.resumes_left = self.max_resumes;
        }
        self.ended = last;
        Action::Forward
    }

    /// The usage comes between the last chunk and the end mark, so a stream without the mark is not complete.
    fn resume_or_give_up(&mut self) -> Action {
        if self.resumes_left == 0 {
            return Action::Lost;
        }
        self.resumes_left -= 1;
        Action::Resume(self.next_index)
    }
}
