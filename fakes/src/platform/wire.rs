use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers by lowercase name.
    pub headers: BTreeMap<String, String>,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, or an empty string; `name` is in lowercase.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// A word of the start line, counted from 0, or an empty string.
    pub fn word(&self, index: usize) -> &str {
        self.start.split_whitespace().nth(index).unwrap_or("")
    }

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the start line and the headers; `None` at the end of the connection.
pub(super) fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(Some(message))
}

/// Reads a message; its body is delimited by `content-length` or chunked, else empty.
pub(super) fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding") == "chunked" {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads a chunk of a body; `None` for the last, empty one.
pub(super) fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}
