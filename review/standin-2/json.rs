//! A small JSON reader, for the transactions that the system sends to the store.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(members) => members.iter().find(|(n, _)| n == name).map(|(_, v)| v),
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

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    value(bytes, &mut at)
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut members = Vec::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(members));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        space(bytes, at);
                        *at += 1;
                        members.push((name, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        b't' => {
            *at += 4;
            Some(Json::Bool)
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool)
        }
        _ => {
            let begin = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[begin..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                text.push(match bytes.get(*at + 1)? {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => *other,
                });
                *at += 2;
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let part = |i: usize| u32::from(*three.get(i).unwrap_or(&0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for i in 0..4 {
            let is_used = i <= three.len();
            let six = (bits >> (18 - 6 * i)) & 63;
            text.push(if is_used { char::from(ALPHABET[six as usize]) } else { '=' });
        }
    }
    text
}
