//! Runners: they run a request once for each arrival, and answer with its id and their seal.

use crate::http::{Message, read_message};
use crate::record::Record;
use crate::store::Store;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// A runner; clones share its state.
#[derive(Clone, Debug)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    work: Duration,
    /// The ids of the requests that it began to run.
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Runner {
    /// Starts a runner that works for `work` on each request, and registers it in the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            work,
            runs: Arc::default(),
            record: record.clone(),
        };
        let accepting = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = accepting.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        runner.register(store, zone, "ready");
        Ok(runner)
    }

    /// Writes its entry.
    pub fn register(&self, store: &Store, zone: &str, state: &str) {
        let Runner { id, service, address, .. } = self;
        store.put(
            "servers",
            id,
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
                 \"sequence\":4,\"born\":1700000000000}}"
            ),
        );
        self.record.line(&format!("runner {id}: the store has accepted its state {state}"));
    }

    /// The ids of the requests that it began to run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader)? {
            self.respond(&message, &mut writer)?;
        }
        Ok(())
    }

    fn respond(&self, message: &Message, writer: &mut TcpStream) -> io::Result<()> {
        if message.word(1) == "/health" {
            let id = &self.id;
            return write!(
                writer,
                "HTTP/1.1 200 X\r\nX-Chervilspur-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        if message.word(1) == "/report" {
            let text = "{\"stage\":\"combined\",\"models\":[],\"busy\":false,\"sequence\":1,\
                 \"waiting_requests\":0,\"running_requests\":0,\"cache_used\":0,\
                 \"cache_total\":100000,\"handles\":0,\"born\":1700000000000}";
            return write!(
                writer,
                "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n\
                 {text}",
                text.len()
            );
        }
        let id = message.header("x-chervilspur-attempt-id");
        if message.header("x-chervilspur-expected-instance") != self.id {
            return write!(
                writer,
                "HTTP/1.1 421 X\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
                 X-Chervilspur-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
        self.record.line(&format!("runner {}: runs {id}", self.id));
        thread::sleep(self.work);
        let body = format!("{} has run {id}", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
             X-Chervilspur-Server-Seal: {}.{id}\r\nContent-Length: {}\r\n\r\n",
            self.id,
            body.len()
        );
        let sent = writer.write_all(&[head.as_bytes(), body.as_bytes()].concat());
        self.record.line(&format!("runner {}: has run {id}, answered: {}", self.id, sent.is_ok()));
        sent
    }
}
