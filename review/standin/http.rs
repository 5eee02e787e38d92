//! Blocking HTTP/1.1 for the stand-ins, with the standard library only.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The names of the platform's wire, from `wire.txt`.
pub fn wire(name: &str) -> &'static str {
    let found = include_str!("wire.txt").lines().filter_map(|l| l.split_once('='));
    let mut found = found.filter(|(n, _)| *n == name);
    found.next().unwrap_or_else(|| panic!("no wire name {name}")).1
}

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// A field of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(n, _)| *n == name).map(|(_, v)| decode(v)).next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 2;
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    read: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, read: Vec::new() }
    }

    pub fn connect(address: &str, wait: Duration) -> std::io::Result<Conn> {
        let address: SocketAddr = address.parse().expect("an address");
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Conn::new(stream))
    }

    /// Reads more bytes; false at the end of the connection or on an error.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.read.extend_from_slice(&chunk[..count]);
                true
            }
        }
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        self.read.drain(..count).collect()
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.read.iter().position(|b| *b == b'\n') {
                let line = self.take(at + 1);
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    pub fn head(&mut self) -> Option<Head> {
        let first = self.line()?;
        let mut head = Head { first, fields: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(head);
            }
            let (name, value) = line.split_once(':')?;
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a body. Returns whether it is complete by its framing. `ends` says that a body without a length ends with
    /// its connection, as that of a response does.
    pub fn body(&mut self, head: &Head, ends: bool) -> (Vec<u8>, bool) {
        if let Some(length) = head.field("Content-Length").and_then(|l| l.parse().ok()) {
            while self.read.len() < length {
                if !self.fill() {
                    return (std::mem::take(&mut self.read), false);
                }
            }
            return (self.take(length), true);
        }
        if head.field("Transfer-Encoding").is_some() {
            return self.chunks();
        }
        if !ends {
            return (Vec::new(), true);
        }
        let mut chunk = [0; 16384];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return (std::mem::take(&mut self.read), true),
                Ok(count) => self.read.extend_from_slice(&chunk[..count]),
                Err(_) => return (std::mem::take(&mut self.read), false),
            }
        }
    }

    fn chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(line) = self.line() else { return (body, false) };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
            while self.read.len() < length + 2 {
                if !self.fill() {
                    body.append(&mut self.read);
                    return (body, false);
                }
            }
            body.append(&mut self.take(length));
            self.take(2);
            if length == 0 {
                return (body, true);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Builds a response with a length.
pub fn response(status: &str, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}
