//! A small JSON reader, enough for the bodies that nodes send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        Reader { text, at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(members) => members.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' | b'f' | b'n' => {
                let word = self.word();
                Some(if word == "null" { Json::Null } else { Json::Bool })
            }
            _ => self.word().parse().ok().map(Json::Number),
        }
    }

    fn word(&mut self) -> &str {
        let from = self.at;
        let ends = |byte: &u8| b",]} \t\r\n".contains(byte);
        while self.text.get(self.at).is_some_and(|byte| !ends(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[from..self.at]).unwrap_or_default()
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            items.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::List(items))
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut members = BTreeMap::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.peek()?;
            self.at += 1;
            members.insert(name, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::Object(members))
    }
}
