//! Reading of HTTP/1.1 messages.

use std::io::{self, BufRead, Error, ErrorKind};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    /// A word of the first line.
    pub fn word(&self, number: usize) -> &str {
        self.line.split(' ').nth(number).unwrap_or("")
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the channel ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line.truncate(message.line.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "the head is cut"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with its whole body; `None` if the channel ends before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads a chunk of a body; `None` if it is the last, empty one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| Error::new(ErrorKind::UnexpectedEof, "the body is cut"))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}
