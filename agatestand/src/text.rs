//! Text of generated tokens.
//!
//! In the checkable format, each token contains its generation and its index, so that a reader can
//! detect tokens that are repeated, out of order, missing or from another generation.

/// English text whose words are the tokens of [`TokenFormat::Words`].
const DEMO_TEXT: &str = "The poem opens on a plain iamb and keeps it for two lines , then lets the \
third foot turn over so that the stress falls on the name . What looks like a slip is the hinge of \
the whole stanza : the voice that counted steadily now hesitates , and the reader hesitates with it \
. The second stanza answers in shorter lines . Each of them ends on an open vowel , and the rhyme , \
which we expected on the fourth , is held back until the last word of the page . Read it aloud \
slowly ; the pause before the final couplet is part of the metre , not a breath .";

/// Format of the token text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenFormat {
    /// Generation and index of the token.
    Checkable,
    /// Words of an English text, for demonstrations.
    Words,
}

/// Returns the text of the token of a generation at an index.
pub fn token(format: TokenFormat, generation: &str, index: u64) -> String {
    match format {
        TokenFormat::Checkable => format!("{}.{index} ", mark(generation)),
        TokenFormat::Words => {
            let words = DEMO_TEXT.split_whitespace();
            let count = words.clone().count() as u64;
            let word = words.clone().nth((index % count) as usize).unwrap_or(".");
            format!("{word} ")
        }
    }
}

/// Returns the part of a generation id that tokens contain.
pub fn mark(generation: &str) -> &str {
    generation.get(..8).unwrap_or(generation)
}

/// Returns the generation mark and the index of a token in the checkable format.
pub fn parse(token: &str) -> Option<(&str, u64)> {
    let (mark, index) = token.trim_end().rsplit_once('.')?;
    Some((mark, index.parse().ok()?))
}
