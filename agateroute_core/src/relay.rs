//! Checks the tokens of one generation on their way to the caller.
//!
//! Tokens carry their index and the generation that they belong to. The relay passes on the next
//! index only, so that a caller gets each token once, in order and from one generation. See
//! `docs/DESIGN.md`, "Streams".

record! {
    /// What arrived from the backend server.
    pub enum Arrival<'a> {
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
        Mark,
        /// The link ended, failed or was silent for too long.
        Cut,
    }
}

value! {
    /// What to do about it.
    pub enum Verdict {
        /// Pass the chunk on.
        Pass,
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
    next: u64,
    ended: bool,
    resumes: u32,
    left: u32,
    crossed: u32,
}

/// The chunks of another generation after which an attempt is given up.
const CROSSED_MOST: u32 = 3;

impl Relay {
    /// A relay that waits for the first token and may resume `resumes` times without progress.
    pub fn new(generation: impl Into<String>, resumes: u32) -> Relay {
        Relay {
            generation: generation.into(),
            next: 0,
            ended: false,
            resumes,
            left: resumes,
            crossed: 0,
        }
    }

    /// The tokens passed on so far.
    pub fn tokens(&self) -> u64 {
        self.next
    }

    /// The generation that is relayed.
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Takes an arrival and says what to do about it.
    pub fn apply(&mut self, arrival: &Arrival<'_>) -> Verdict {
        match *arrival {
            Arrival::Chunk { generation, .. } if generation != self.generation => self.cross(),
            Arrival::Chunk { index, count, last, .. } => self.chunk(index, count, last),
            Arrival::Mark if self.ended => Verdict::Finish,
            Arrival::Mark | Arrival::Cut => self.cut(),
        }
    }

    fn cross(&mut self) -> Verdict {
        self.crossed += 1;
        if self.crossed >= CROSSED_MOST { Verdict::Lost } else { Verdict::Drop }
    }

    fn chunk(&mut self, index: u64, count: u64, last: bool) -> Verdict {
        let repeated = index < self.next || self.ended;
        if repeated && index + count <= self.next {
            return Verdict::Drop;
        }
        if index != self.next || self.ended {
            return self.cut();
        }
        self.next += count;
        if count > 0 {
            self.left = self.resumes;
        }
        self.ended = last;
        Verdict::Pass
    }

    fn cut(&mut self) -> Verdict {
        if self.ended {
            return Verdict::Finish;
        }
        if self.left == 0 {
            return Verdict::Lost;
        }
        self.left -= 1;
        Verdict::Resume(self.next)
    }
}
