//! A small JSON reader for the calls that the instances make.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        Reader { chars, at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(pairs) => {
                pairs.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { 0.0 }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn peek(&mut self) -> char {
        while self.at < self.chars.len() && self.chars[self.at].is_whitespace() {
            self.at += 1;
        }
        self.chars.get(self.at).copied().unwrap_or('\0')
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            '{' => {
                self.at += 1;
                let mut pairs = Vec::new();
                while self.peek() == '"' {
                    let name = self.string();
                    if self.peek() == ':' {
                        self.at += 1;
                    }
                    pairs.push((name, self.value()));
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Map(pairs)
            }
            '[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !matches!(self.peek(), ']' | '\0') {
                    list.push(self.value());
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(list)
            }
            '"' => Json::Text(self.string()),
            _ => {
                let from = self.at;
                while self.at < self.chars.len()
                    && !matches!(self.chars[self.at], ',' | '}' | ']')
                    && !self.chars[self.at].is_whitespace()
                {
                    self.at += 1;
                }
                let word: String = self.chars[from..self.at].iter().collect();
                match word.as_str() {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    "" => {
                        self.at += 1;
                        Json::Null
                    }
                    other => other.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> String {
        self.at += 1;
        let mut text = String::new();
        while let Some(c) = self.chars.get(self.at).copied() {
            self.at += 1;
            match c {
                '"' => return text,
                '\\' => {
                    let escaped = self.chars.get(self.at).copied().unwrap_or('\\');
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let end = (self.at + 4).min(self.chars.len());
                            let digits: String = self.chars[self.at..end].iter().collect();
                            let code = u32::from_str_radix(&digits, 16).unwrap_or(0);
                            text.push(char::from_u32(code).unwrap_or('?'));
                            self.at = end;
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
        text
    }
}
