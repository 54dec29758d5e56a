//! A form as browsers send it, `application/x-www-form-urlencoded`.

/// Its members, in order.
#[derive(Clone, Debug, Default)]
pub struct Form {
    members: Vec<(String, String)>,
}

impl Form {
    /// Reads a body; what is no text becomes replacement characters, which no check accepts.
    #[must_use]
    pub fn parse(body: &[u8]) -> Self {
        let pairs = body.split(|byte| *byte == b'&').filter(|pair| !pair.is_empty());
        let members = pairs.map(|pair| match pair.iter().position(|byte| *byte == b'=') {
            Some(at) => (decode(&pair[..at]), decode(&pair[at + 1..])),
            None => (decode(pair), String::new()),
        });
        Self { members: members.collect() }
    }

    /// The first value of a member; empty for none.
    #[must_use]
    pub fn get(&self, name: &str) -> &str {
        let member = self.members.iter().find(|(member, _)| member == name);
        member.map_or("", |(_, value)| value)
    }

    /// All values of a member.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let members = self.members.iter().filter(move |(member, _)| member == name);
        members.map(|(_, value)| value.as_str())
    }
}

fn decode(bytes: &[u8]) -> String {
    let mut text = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, tail)) = rest.split_first() {
        let (byte, tail) = match (first, tail) {
            (b'%', [high, low, tail @ ..]) => match (digit(*high), digit(*low)) {
                (Some(high), Some(low)) => (high << 4 | low, tail),
                _ => (b'%', &rest[1..]),
            },
            (b'+', tail) => (b' ', tail),
            (byte, tail) => (*byte, tail),
        };
        text.push(byte);
        rest = tail;
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).and_then(|digit| u8::try_from(digit).ok())
}
