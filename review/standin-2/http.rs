//! HTTP/1.1 as the stand-ins need it: heads, bodies with a length or in chunks, base64.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The names of the platform's wire, from `wire.txt`.
pub fn wire(name: &str) -> &'static str {
    let mut names = include_str!("wire.txt").lines().filter_map(|l| l.split_once('='));
    names.find(|(n, _)| *n == name).map_or("", |(_, value)| value)
}

/// A message head and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a field, given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// A value of the query of a request, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.path().split_once('?').map_or("", |(_, q)| q);
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        pair.map_or(String::new(), |(_, v)| decode_percent(v))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read and not used.
pub struct Wire {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended")
}

impl Wire {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut block = [0; 16 * 1024];
        let read = self.stream.read(&mut block)?;
        if read == 0 {
            return Err(ended());
        }
        self.buffer.extend_from_slice(&block[..read]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads a line without its end.
    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = self.take(at + 1)?;
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a head. The body stays unread.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next chunk of a body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16).map_err(io::Error::other)?;
        let data = self.take(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let chunked = message.field("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.field("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a body.
    pub fn respond(&mut self, status: &str, fields: &[(&str, &str)], body: &str) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in fields {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
        self.write(text.as_bytes())
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for block in bytes.chunks(3) {
        let at = |i: usize| u32::from(block.get(i).copied().unwrap_or(0));
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= block.len() { digit } else { '=' });
        }
    }
    out
}

/// The text values of a field in a flat JSON object, as they stand.
pub fn json_text(json: &str, name: &str) -> Option<String> {
    let rest = &json[json.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let rest = rest.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}
