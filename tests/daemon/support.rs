//! Starts sites, reads streams event by event and polls for conditions.

use attohttpc::Response;
use fakes::InstanceKind::{Daemon, Engine};
use fakes::{Caller, Member, Site, build_programs, completion_length, simple_lists};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};
use utils::{prepare_request, sha256_hex};

/// The key of client account `campo`.
pub const KEY: &str = "key-1";

/// The region and data centre of most sites.
pub const LOCATION: &str = "valle-aburra/aburra-norte";

/// `max_tokens` of requests whose completion may be long.
pub const MAX_TOKENS: u64 = 4_000;

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The longest minimum length for `skip_to_long_completion`: about one of a few hundred requests has a
/// completion this long.
const MAX_REQUIRED_TOKENS: u64 = 1_280;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

const DAEMON_ARGS: [&str; 6] =
    ["--log-level", "error", "--silence-limit-ms", "1500", "--check-invariants", "true"];

/// Describes a daemon with `DAEMON_ARGS` and extra flags.
pub fn daemon(name: &str, location: &str, args: &[&str]) -> Member {
    Member::new(name, Daemon, location, &[&DAEMON_ARGS, args].concat())
}

/// Starts two daemons and two engines in one data centre.
pub fn start_site(engine_args: &[&str]) -> Site {
    start_members(&[
        daemon("daemon-1", LOCATION, &[]),
        daemon("daemon-2", LOCATION, &[]),
        Member::new("engine-1", Engine, LOCATION, engine_args),
        Member::new("engine-2", Engine, LOCATION, engine_args),
    ])
}

/// Starts a site with the simple lists and a second client account.
pub fn start_members(members: &[Member]) -> Site {
    build_programs().unwrap();
    let mut lists = simple_lists(&sha256_hex(KEY));
    lists["plans"]["accounts"]["bothy"] =
        json!({"plan": "gold", "key_sha256": sha256_hex("key-2")});
    // Long targets, so that requests wait for a slot on a slow host instead of being refused.
    let long_target =
        json!({"first_token_ms": 120_000, "between_tokens_ms": 64, "finish_ms": 240_000});
    lists["grants"]["classes"]["plan"]["target"] = long_target;
    let site = Site::start(&lists, members).unwrap();
    for name in site.names(Daemon) {
        let peers = site.names(Daemon).len() - 1;
        wait_until(|| status(&site, name)["members"].as_array().unwrap().len() == peers);
    }
    site
}

/// Reads `/admin/status` of a daemon.
pub fn status(site: &Site, daemon: &str) -> Value {
    site.get(daemon, "/admin/status").unwrap()
}

/// A caller that sends requests of class `plan` to a daemon.
pub fn caller(site: &Site, daemon: &str) -> Caller {
    let address = site.address(daemon);
    Caller { address, key: KEY.to_string(), class: "plan".to_string() }
}

/// Polls until the condition holds. Fails after `WAIT_TIMEOUT`.
pub fn wait_until<F: FnMut() -> bool>(mut condition: F) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "condition did not hold within {WAIT_TIMEOUT:?}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a signal to the process of an instance; `signal` is an option of `kill`, such as `-TERM`.
pub fn signal(site: &Site, name: &str, signal: &str) {
    let id = site.process(name).id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
}

pub fn chat_body(max_tokens: u64) -> Value {
    json!({
        "messages": [{"role": "user", "content": "route"}],
        "stream": true, "max_tokens": max_tokens,
    })
}

/// Sends requests that are refused until the next request of the daemon will have a completion of at
/// least `tokens` tokens, and returns its id. The length depends only on the request id, which counts
/// up.
pub fn skip_to_long_completion(site: &Site, daemon: &str, tokens: u64) -> String {
    assert!(tokens <= MAX_REQUIRED_TOKENS);
    loop {
        let class = "no such class".to_string();
        let probe = Caller { class, ..caller(site, daemon) }.chat("", "", 1);
        let (instance, number) = probe.request.split_once('-').unwrap();
        let id = format!("{instance}-{}", number.parse::<u64>().unwrap() + 1);
        if completion_length(&id, MAX_TOKENS) >= tokens {
            return id;
        }
    }
}

/// Reads a response event by event.
pub struct EventReader {
    pub status: u16,
    pub id: String,
    lines: BufReader<Response>,
}

/// The next item of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// The offset and the text.
    Token(u64, String),
    Refusal(Value),
    Done,
    /// The connection ended before `[DONE]`.
    Interrupted,
}

impl EventReader {
    /// Sends a request for a completion of at most `MAX_TOKENS` tokens.
    pub fn open(address: SocketAddr) -> EventReader {
        EventReader::open_with(address, &[])
    }

    /// Sends the request of `open` with extra headers.
    pub fn open_with(address: SocketAddr, headers: &[(&'static str, &str)]) -> EventReader {
        let url = format!("http://{address}/v1/chat/completions");
        let mut req = prepare_request(attohttpc::post(url), WAIT_TIMEOUT)
            .header("x-request-class", "plan")
            .header("authorization", format!("Bearer {KEY}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        EventReader::new(req.text(chat_body(MAX_TOKENS).to_string()).send().unwrap())
    }

    /// Resumes the stream of a request from an offset.
    pub fn resume(address: SocketAddr, key: &str, id: &str, offset: &str) -> EventReader {
        let url = format!("http://{address}/v1/requests/{id}/stream?offset={offset}");
        let req = prepare_request(attohttpc::get(url), WAIT_TIMEOUT);
        EventReader::new(req.header("authorization", format!("Bearer {key}")).send().unwrap())
    }

    fn new(res: Response) -> EventReader {
        let id = res.headers().get("x-request-id").and_then(|v| v.to_str().ok());
        let (status, id) = (res.status().as_u16(), id.unwrap_or_default().to_string());
        EventReader { status, id, lines: BufReader::new(res) }
    }

    pub fn next(&mut self) -> StreamItem {
        let mut line = String::new();
        while self.lines.read_line(&mut line).is_ok_and(|len| len > 0) {
            let Some(data) = line.trim().strip_prefix("data: ") else {
                line.clear();
                continue;
            };
            if data == "[DONE]" {
                return StreamItem::Done;
            }
            let event: Value = serde_json::from_str(data).unwrap();
            if event["error"].is_object() {
                return StreamItem::Refusal(event["error"].clone());
            }
            let token = event["choices"][0]["delta"]["content"].as_str().unwrap();
            return StreamItem::Token(event["offset"].as_u64().unwrap(), token.to_string());
        }
        StreamItem::Interrupted
    }

    /// Reads `count` tokens and returns their text. Panics when the stream ends earlier.
    pub fn read_tokens(&mut self, count: usize) -> String {
        let token = |_| match self.next() {
            StreamItem::Token(_, token) => token,
            other => panic!("expected a token, got {other:?}"),
        };
        (0..count).map(token).collect()
    }

    /// Reads the remaining stream; returns its text, the offset of its first token and the last item.
    pub fn read_to_end(&mut self) -> (String, Option<u64>, StreamItem) {
        let (mut text, mut first_offset) = (String::new(), None);
        loop {
            match self.next() {
                StreamItem::Token(offset, token) => {
                    first_offset.get_or_insert(offset);
                    text.push_str(&token);
                }
                end => return (text, first_offset, end),
            }
        }
    }

    /// The error in the body of a response that is not a stream.
    pub fn refusal(self) -> Value {
        let text = self.lines.into_inner().text().unwrap();
        serde_json::from_str::<Value>(&text).unwrap()["error"].clone()
    }
}

/// Counts the runs of a request at all engines.
pub fn run_count(site: &Site, id: &str) -> u64 {
    let count = |engine: &str| site.get(engine, "/counts").unwrap()[id]["runs"].as_u64();
    site.names(Engine).into_iter().filter_map(count).sum()
}
