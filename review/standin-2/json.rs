//! A small JSON value with a parser and a writer.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&NULL, |(_, value)| value)
            }
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }

    pub fn num(&self) -> f64 {
        if let Json::Num(number) = self { *number } else { 0.0 }
    }

    pub fn int(&self) -> u64 {
        self.num() as u64
    }

    pub fn is_null(&self) -> bool {
        *self == Json::Null
    }

    pub fn list(&self) -> &[Json] {
        if let Json::Arr(list) = self { list } else { &[] }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(flag) => out.push_str(if *flag { "true" } else { "false" }),
            Json::Num(number) => {
                if number.fract() == 0.0 && number.abs() < 9e15 {
                    let _ = write!(out, "{}", *number as i64);
                } else {
                    let _ = write!(out, "{number}");
                }
            }
            Json::Str(text) => write_text(out, text),
            Json::Arr(list) => {
                out.push('[');
                for (index, value) in list.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    value.write_to(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(out, key);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(out: &mut String, text: &str) {
    out.push('"');
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", letter as u32);
            }
            letter => out.push(letter),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(|byte| b" \t\r\n".contains(byte)) {
            self.at += 1;
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    self.space();
                    if self.text.get(self.at) == Some(&b']') {
                        self.at += 1;
                        return Some(Json::Arr(list));
                    }
                    list.push(self.value()?);
                    self.space();
                    if self.text.get(self.at) == Some(&b',') {
                        self.at += 1;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.space();
                    if self.text.get(self.at) == Some(&b'}') {
                        self.at += 1;
                        return Some(Json::Obj(fields));
                    }
                    let key = self.string()?;
                    self.space();
                    if self.text.get(self.at) != Some(&b':') {
                        return None;
                    }
                    self.at += 1;
                    fields.push((key, self.value()?));
                    self.space();
                    if self.text.get(self.at) == Some(&b',') {
                        self.at += 1;
                    }
                }
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.text.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let escape = *self.text.get(self.at + 1)?;
                    self.at += 2;
                    let letter = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend(letter.to_string().as_bytes());
                }
                byte => {
                    bytes.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

/// Builds an object.
pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Obj(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

pub fn num(number: impl Into<f64>) -> Json {
    Json::Num(number.into())
}

pub fn int(number: u64) -> Json {
    Json::Num(number as f64)
}

pub fn text(text: impl Into<String>) -> Json {
    Json::Str(text.into())
}
