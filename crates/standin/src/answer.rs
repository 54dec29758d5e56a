//! The text that model engines answer with: it says what it is the answer to.

use policy::name::Name;

const MARK: &str = "answer";

/// What an answer's text says about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether it is a good one; the rater reads this.
    pub good: bool,
    /// The version that made it.
    pub version: Name,
    /// The request it was made for.
    pub request: Name,
    /// Digest of the prompt it was made from.
    pub digest: Name,
}

impl Answer {
    /// The text, without line breaks.
    #[must_use]
    pub fn render(&self) -> String {
        let quality = if self.good { "good" } else { "bad" };
        format!("{MARK} {quality} {} {} {}", self.version, self.request, self.digest)
    }

    /// Reads the text; words after the mark's own are ignored.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split_whitespace();
        let mark = words.next()?;
        let quality = words.next()?;
        let answer = Self {
            good: quality == "good",
            version: words.next()?.into(),
            request: words.next()?.into(),
            digest: words.next()?.into(),
        };
        (mark == MARK).then_some(answer)
    }
}
