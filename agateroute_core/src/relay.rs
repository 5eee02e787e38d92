//! Checks the tokens of one generation on their way to the caller.
//!
//! Tokens carry their index and the generation that they belong to. The relay passes on the next
//! index only, so that a caller gets each token once, in order and from one generation. See
//! `docs/DESIGN.md`, "Streams".

record! {
    /// What arrived from the backend server.
    pub enum StreamInput<'a> {
        /// A chunk of the stream.
        Chunk {
            /// The generation that the chunk names.
            generation: &'a str,
            /// The index of its first token.
            index: u64,
            /// The tokens in it; 0 for chunks that only carry a role or the end.
            count: u64,
            /// Whether the generation ends with it.
            last: bool,
        },
        /// The mark at the end of a stream.
        EndMark,
        /// The link ended, failed or was silent for too long.
        Cut,
    }
}

value! {
    /// What to do about it.
    pub enum Action {
        /// Pass the chunk on.
        Forward,
        /// Drop the chunk: it was passed on before, or belongs to another generation.
        Drop,
        /// The stream is whole.
        Finish,
        /// Ask the same server for the same generation from this index on.
        Resume(u64),
        /// The generation is lost.
        Lost,
    }
}

/// The state of one relayed generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    generation: String,
    next_index: u64,
    ended: bool,
    max_resumes: u32,
    resumes_left: u32,
    foreign_chunks: u32,
}

/// The chunks of another generation after which an attempt is given up.
const MAX_FOREIGN_CHUNKS: u32 = 3;

impl Relay {
    /// A relay that waits for the first token and may resume `max_resumes` times without progress.
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

    /// The tokens passed on so far.
    pub fn tokens(&self) -> u64 {
        self.next_index
    }

    /// The generation that is relayed.
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Takes an arrival and says what to do about it.
    pub fn apply(&mut self, input: &StreamInput<'_>) -> Action {
        match *input {
            StreamInput::Chunk { generation, .. } if generation != self.generation => {
                self.reject_foreign()
            }
            StreamInput::Chunk { index, count, last, .. } => self.chunk(index, count, last),
            StreamInput::EndMark if self.ended => Action::Finish,
            StreamInput::EndMark | StreamInput::Cut => self.cut(),
        }
    }

    fn reject_foreign(&mut self) -> Action {
        self.foreign_chunks += 1;
        if self.foreign_chunks >= MAX_FOREIGN_CHUNKS { Action::Lost } else { Action::Drop }
    }

    fn chunk(&mut self, index: u64, count: u64, last: bool) -> Action {
        let repeated = index < self.next_index || self.ended;
        if repeated && index + count <= self.next_index {
            return Action::Drop;
        }
        if index != self.next_index || self.ended {
            return self.cut();
        }
        self.next_index += count;
        if count > 0 {
            self.resumes_left = self.max_resumes;
        }
        self.ended = last;
        Action::Forward
    }

    fn cut(&mut self) -> Action {
        if self.ended {
            return Action::Finish;
        }
        if self.resumes_left == 0 {
            return Action::Lost;
        }
        self.resumes_left -= 1;
        Action::Resume(self.next_index)
    }
}
