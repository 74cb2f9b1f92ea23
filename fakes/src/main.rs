//! Runs one stand-in as a process.

use argh::FromArgs;
use fakes::{EngineConfig, InstancesConfig, ObjectApiConfig, ServiceConfig};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Run a stand-in for the platform or for an endpoint.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    ObjectApi(ObjectApi),
    Instances(Instances),
    Engine(Engine),
    Service(Service),
}

/// the object API
#[derive(FromArgs)]
#[argh(subcommand, name = "object-api")]
struct ObjectApi {
    /// address to listen on (default: a free port of 127.0.0.1)
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// number of recent writes kept, which a watch can start from
    #[argh(option, default = "ObjectApiConfig::default().history")]
    history: usize,
}

/// the instance list
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct Instances {
    /// address to listen on (default: a free port of 127.0.0.1)
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// delay before a change becomes visible to readers, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// a model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// address to listen on (default: a free port of 127.0.0.1)
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// model that is loaded at the start
    #[argh(option, default = "EngineConfig::default().model")]
    model: String,
    /// time between two tokens of a stream when no other stream runs, in milliseconds
    #[argh(option, default = "EngineConfig::default().token_ms")]
    token_ms: u64,
    /// increase of the time between two tokens for each further running stream, in percent
    #[argh(option, default = "EngineConfig::default().batch_percent")]
    batch_percent: u64,
    /// prefill time for each prompt token that is not cached, in microseconds
    #[argh(option, default = "EngineConfig::default().prefill_us")]
    prefill_us: u64,
    /// maximum number of running streams
    #[argh(option, default = "EngineConfig::default().slots")]
    slots: u32,
    /// maximum number of requests that wait for a slot
    #[argh(option, default = "EngineConfig::default().queue")]
    queue: usize,
    /// capacity of the prefix cache, in blocks of prompt tokens
    #[argh(option, default = "EngineConfig::default().cache_blocks")]
    cache_blocks: usize,
    /// delay of the reported load, in milliseconds
    #[argh(option, default = "0")]
    report_lag_ms: u64,
    /// support pausing and resuming streams
    #[argh(switch)]
    pauses: bool,
    /// reject orders with an older fencing number
    #[argh(switch)]
    checks_fence: bool,
}

/// a plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// address to listen on (default: a free port of 127.0.0.1)
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// name of the service
    #[argh(option, default = "ServiceConfig::default().name")]
    name: String,
    /// duration of a call, in milliseconds
    #[argh(option, default = "0")]
    call_ms: u64,
    /// run a call only once per idempotency key
    #[argh(switch)]
    checks_key: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    match args.kind {
        Kind::ObjectApi(a) => {
            fakes::run_object_api(a.listen, ObjectApiConfig { history: a.history })
        }
        Kind::Instances(a) => {
            let cfg = InstancesConfig { lag: Duration::from_millis(a.lag_ms) };
            fakes::run_instances(a.listen, cfg)
        }
        Kind::Engine(a) => fakes::run_engine(a.listen, engine_config(a)),
        Kind::Service(a) => {
            let cfg = ServiceConfig { name: a.name, call_ms: a.call_ms, checks_key: a.checks_key };
            fakes::run_service(a.listen, cfg)
        }
    }
}

fn engine_config(args: Engine) -> EngineConfig {
    EngineConfig {
        model: args.model,
        token_ms: args.token_ms,
        batch_percent: args.batch_percent,
        prefill_us: args.prefill_us,
        slots: args.slots,
        queue: args.queue,
        cache_blocks: args.cache_blocks,
        report_lag: Duration::from_millis(args.report_lag_ms),
        pauses: args.pauses,
        checks_fence: args.checks_fence,
    }
}
