//! The way between two regions: a delay in each direction.
//!
//! Each gateway has a second address, at which those of the other region reach it. A path listens there and
//! passes messages on after the delay. As in a network with address translation, each region sees the
//! gateways of the other one under their second addresses, also in the objects of the store.

use crate::http::{Message, read_message};
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// One way between two regions, as the sheets say.
pub const ONE_WAY: Duration = Duration::from_millis(30);
/// The distance between the last numbers of the two addresses of a gateway; both have two digits.
const DISTANCE: u8 = 20;

/// The gateways by the last numbers of their addresses, with their regions.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    /// A number and the region of its gateway.
    pub gateways: Vec<(u8, &'static str)>,
}

fn text(number: u8) -> Vec<u8> {
    format!("127.0.0.{number}:").into_bytes()
}

fn replace(bytes: &mut [u8], from: &[u8], to: &[u8]) {
    let mut at = 0;
    while at + from.len() <= bytes.len() {
        if bytes[at..].starts_with(from) {
            bytes[at..at + to.len()].copy_from_slice(to);
        }
        at += 1;
    }
}

impl Regions {
    /// Replaces addresses by those that a region sees.
    pub fn seen_from(&self, region: &str, bytes: &mut [u8]) {
        for (number, own) in &self.gateways {
            let (first, second) = (text(*number), text(number + DISTANCE));
            if *own == region {
                replace(bytes, &second, &first);
            } else {
                replace(bytes, &first, &second);
            }
        }
    }

    /// Replaces addresses by those of the gateways themselves.
    pub fn plain(&self, bytes: &mut [u8]) {
        for (number, _) in &self.gateways {
            replace(bytes, &text(number + DISTANCE), &text(*number));
        }
    }

    /// Starts the path to the peer port of a gateway.
    pub fn start_path(
        &self,
        number: u8,
        region: &'static str,
        from_region: &'static str,
        port: u16,
        record: &Record,
    ) -> io::Result<()> {
        let listener = TcpListener::bind((IpAddr::from([127, 0, 0, number + DISTANCE]), port))?;
        let target = SocketAddr::new(IpAddr::from([127, 0, 0, number]), port);
        let (regions, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (regions, record) = (regions.clone(), record.clone());
                thread::spawn(move || {
                    let ended = regions.pass(stream, target, region, from_region);
                    record.line(&format!("path to {target}: {ended:?}"));
                });
            }
        });
        Ok(())
    }

    fn pass(
        &self,
        from: TcpStream,
        target: SocketAddr,
        region: &str,
        from_region: &str,
    ) -> io::Result<()> {
        thread::sleep(ONE_WAY);
        let to = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
        from.set_nodelay(true)?;
        to.set_nodelay(true)?;
        let (mut from_writer, mut to_writer) = (from.try_clone()?, to.try_clone()?);
        let (mut from_reader, mut to_reader) = (BufReader::new(from), BufReader::new(to));
        while let Some(message) = read_message(&mut from_reader)? {
            thread::sleep(ONE_WAY);
            to_writer.write_all(&self.encode(&message, region))?;
            let Some(answer) = read_message(&mut to_reader)? else { return Ok(()) };
            thread::sleep(ONE_WAY);
            from_writer.write_all(&self.encode(&answer, from_region))?;
        }
        Ok(())
    }

    fn encode(&self, message: &Message, region: &str) -> Vec<u8> {
        let framing = ["content-length", "transfer-encoding"];
        let mut text = format!("{}\r\n", message.start);
        for (name, value) in &message.headers {
            if !framing.contains(&name.as_str()) {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", message.body.len()));
        let mut bytes = [text.as_bytes(), &message.body].concat();
        self.seen_from(region, &mut bytes);
        bytes
    }
}
