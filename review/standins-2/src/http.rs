//! Messages of HTTP/1.1.

use std::io::{self, BufRead};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, without its coding.
    pub body: Vec<u8>,
}

impl Message {
    /// A word of the first line; empty if there is none.
    pub fn word(&self, number: usize) -> &str {
        self.start.split_whitespace().nth(number).unwrap_or("")
    }

    /// The value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads the head of a message; `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { start, ..Message::default() };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunk; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
        .map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads a whole message; `None` at the end of the channel.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
        return Ok(Some(message));
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}
