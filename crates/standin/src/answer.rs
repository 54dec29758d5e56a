//! The text of a stand-in engine's answers: it names the request, prompt and version that it
//! belongs to, so that a caller can tell an answer to another request from its own.

use policy::name::Name;

/// First word of every answer's text.
const FIRST_WORD: &str = "answer";

/// The content of an answer's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether the answer is good; the stand-in rater rates by this.
    pub good: bool,
    /// The model version that made the answer.
    pub version: Name,
    /// Id of the request that the answer was made for.
    pub request: Name,
    /// Digest of the prompt that the answer was made from.
    pub digest: Name,
}

impl Answer {
    /// Writes the answer's text on one line.
    #[must_use]
    pub fn render(&self) -> String {
        let quality = if self.good { "good" } else { "bad" };
        format!("{FIRST_WORD} {quality} {} {} {}", self.version, self.request, self.digest)
    }

    /// Reads an answer's text; `None` if it is no such text. Words behind the digest, which fill up
    /// the tokens of an answer, are ignored.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split_whitespace();
        let first_word = words.next()?;
        let quality = words.next()?;
        let answer = Self {
            good: quality == "good",
            version: words.next()?.into(),
            request: words.next()?.into(),
            digest: words.next()?.into(),
        };
        (first_word == FIRST_WORD).then_some(answer)
    }
}
