//! What the scripts have in common: the config, the entries of runners, the start and the end.

use crate::client::{Client, ClientRequest};
use crate::gateway::Gateway;
use crate::now_ms;
use crate::runner::{self, Runner};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

pub const HOST: &str = "agenda.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// `drain_ms` of the sites.
pub const DRAIN_MS: u64 = 3_000;
/// `contact_ms` of the sites.
pub const CONTACT_MS: u64 = 4_000;
/// The time limit of the start of a site.
const START_LIMIT_MS: u64 = 20_000;

/// A config with a route for bookings (`/book/`, unsafe) to the service `app`, and one for streams
/// (`/stream/`, resumable) to the service `model`.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-book\",\"host\":\"{HOST}\",\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\
         \"timeout_ms\":2000,\"objective_ms\":200,\"priority\":2,\"service\":\"app\",\"attempts\":2,\
         \"anonymous\":false}},\
         {{\"name\":\"r-chat\",\"host\":\"{HOST}\",\"path_prefix\":\"/stream/\",\"kind\":\"stream\",\
         \"timeout_ms\":12000,\"objective_ms\":1500,\"priority\":0,\"service\":\"model\",\"attempts\":2,\
         \"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gap_objective_ms\":300}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"connection_limit\":100,\
         \"protocol\":\"h1\",\"transport_security\":false}},\
         {{\"name\":\"model\",\"health_path\":\"/health\",\"connection_limit\":360,\"protocol\":\"h1\",\
         \"transport_security\":false,\"engine\":{{\"slots\":64,\"cache_capacity_tokens\":243776,\
         \"cache_token_bytes\":163840,\"link_mbps\":530000.0,\"stride\":5}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\
         \"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// The entry of a runner in the store.
pub fn entry(runner: &Runner, service: &str, slots: u32, state: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
         \"born\":1700000000000}}",
        runner.address
    )
}

/// Waits until all gateways are ready and each has answered some requests of `req` with 200.
pub fn wait_until_served(gateways: &[Gateway], req: &ClientRequest<'_>) -> io::Result<()> {
    let limit = now_ms() + START_LIMIT_MS;
    for (number, gateway) in gateways.iter().enumerate() {
        let mut served = 0;
        while served < 5 {
            if now_ms() > limit {
                return Err(io::Error::other(format!("{} does not serve", gateway.name)));
            }
            let id = format!("start-{number}-{}", now_ms());
            let answer = || -> io::Result<u16> {
                let mut client = Client::connect(gateway.address)?;
                client.send(&ClientRequest { id: &id, ..req.clone() })?;
                Ok(client.read()?.map_or(0, |response| response.status()))
            };
            let is_served = gateway.is_ready() && answer().is_ok_and(|status| status == 200);
            served = if is_served { served + 1 } else { 0 };
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

/// A folder for the settings and logs of a run, removed when this value is dropped.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs a case, or a runner as its child process. The case gets the path of its record and whether the
/// disruption is applied, and returns what broke the rule.
pub fn run_case(case: impl FnOnce(PathBuf, bool) -> io::Result<Vec<String>>) -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|word| word == "runner") {
        return runner::main(&args[1..]).map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    let record = PathBuf::from(args.first().map_or("record.txt", |path| path));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match case(record, has_trouble) {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|line| println!("{line}"));
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
