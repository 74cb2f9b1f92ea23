//! Reading of HTTP/1.1 messages.

use std::io::{self, BufRead, Read};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing states.
    pub is_complete: bool,
}

impl Message {
    /// A header value; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// A word of the first line.
    pub fn word(&self, number: usize) -> &str {
        self.start.split(' ').nth(number).unwrap_or("")
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads the first line and the headers; `None` at the end of the connection.
///
/// # Errors
///
/// Returns the error of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { start, ..Message::default() };
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(None)
}

/// Reads a message with its body; `None` at the end of the connection. A response without a stated
/// length ends with its connection if `ends_with_connection` is set.
///
/// # Errors
///
/// Returns the error of the connection before the end of the head. A later one leaves the message
/// incomplete.
pub fn read_message(
    reader: &mut impl BufRead,
    ends_with_connection: bool,
) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let chunked = message.header("transfer-encoding").to_ascii_lowercase().contains("chunked");
    if chunked {
        message.is_complete = read_chunks(reader, &mut message.body).unwrap_or(false);
    } else if let Ok(length) = message.header("content-length").parse::<u64>() {
        let read = reader.take(length).read_to_end(&mut message.body);
        message.is_complete = read.is_ok() && message.body.len() as u64 == length;
    } else if ends_with_connection {
        message.is_complete = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_complete = true;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let Some(line) = read_line(reader)? else { return Ok(false) };
        let size = line.split(';').next().unwrap_or("").trim();
        let Ok(size) = u64::from_str_radix(size, 16) else { return Ok(false) };
        if size == 0 {
            while let Some(line) = read_line(reader)? {
                if line.is_empty() {
                    return Ok(true);
                }
            }
            return Ok(false);
        }
        let before = body.len();
        reader.by_ref().take(size).read_to_end(body)?;
        if (body.len() - before) as u64 != size || read_line(reader)?.is_none() {
            return Ok(false);
        }
    }
}
