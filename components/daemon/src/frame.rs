use crate::stream::{StreamChunk, StreamEnd};
use errors::Refusal;
use messages::forward::ForwardFrame;
use std::io::{self, Read};
use tiny_http::Request;
use utils::ChunkWriter;

/// Maximum length of the body of a frame; longer frames are rejected.
const FRAME_LIMIT_BYTES: u32 = 4 << 20;

/// Writes the response to a forwarded request as frames: a big-endian length of 4 bytes and a
/// `ForwardFrame` in MessagePack.
pub struct FrameWriter {
    inner: ChunkWriter,
}

impl FrameWriter {
    /// Sends the head of the response.
    pub fn start(req: Request) -> io::Result<FrameWriter> {
        let headers = [("Content-Type", "application/msgpack")];
        Ok(FrameWriter { inner: ChunkWriter::start(req, "200 OK", &headers)? })
    }

    /// Sends a chunk as one frame; an empty chunk serves as a heartbeat.
    pub fn send(&mut self, chunk: &StreamChunk) -> io::Result<()> {
        let refusal = match &chunk.end {
            Some(StreamEnd::Refused(refusal)) => {
                serde_json::to_string(refusal).map_err(io::Error::other)?
            }
            _ => String::new(),
        };
        let frame =
            ForwardFrame { tokens: chunk.tokens.clone(), ended: chunk.end.is_some(), refusal };
        let body = rmp_serde::to_vec(&frame).map_err(io::Error::other)?;
        let mut buf = (body.len() as u32).to_be_bytes().to_vec();
        buf.extend_from_slice(&body);
        self.inner.send(&buf)
    }

    /// Ends the HTTP body.
    pub fn close(self) -> io::Result<()> {
        self.inner.close()
    }
}

/// Reads one frame; also returns its length in bytes, header included.
pub fn read_frame<R: Read>(reader: &mut R) -> io::Result<(StreamChunk, u64)> {
    let mut length = [0u8; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > FRAME_LIMIT_BYTES {
        return Err(io::Error::other(format!("a frame of {length} bytes")));
    }
    let mut body = vec![0u8; length as usize];
    reader.read_exact(&mut body)?;
    let frame: ForwardFrame = rmp_serde::from_slice(&body).map_err(io::Error::other)?;
    let end = end_of(&frame)?;
    Ok((StreamChunk { tokens: frame.tokens, end }, u64::from(length) + 4))
}

fn end_of(frame: &ForwardFrame) -> io::Result<Option<StreamEnd>> {
    if !frame.ended {
        return Ok(None);
    }
    if frame.refusal.is_empty() {
        return Ok(Some(StreamEnd::Complete));
    }
    let refusal: Refusal = serde_json::from_str(&frame.refusal).map_err(io::Error::other)?;
    Ok(Some(StreamEnd::Refused(refusal)))
}
