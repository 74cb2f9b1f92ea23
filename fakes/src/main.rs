//! Starts one stand-in as a process of its own.

use argh::FromArgs;
use fakes::{EngineConfig, InstancesConfig, ObjectApiConfig, ServiceConfig};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Stand-ins for the platform and the endpoints.
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

/// The object API.
#[derive(FromArgs)]
#[argh(subcommand, name = "object-api")]
struct ObjectApi {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// writes that a watch can start from, counted back from the last
    #[argh(option, default = "ObjectApiConfig::default().history")]
    history: usize,
}

/// The instance list.
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct Instances {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// time after which readers see a change, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// model that it serves at first
    #[argh(option, default = "EngineConfig::default().model")]
    model: String,
    /// time between two tokens of a stream that runs alone, in milliseconds
    #[argh(option, default = "EngineConfig::default().token_ms")]
    token_ms: u64,
    /// what each further stream adds to the time between two tokens, in percent
    #[argh(option, default = "EngineConfig::default().batch_percent")]
    batch_percent: u64,
    /// time to read one prompt token that is not cached, in microseconds
    #[argh(option, default = "EngineConfig::default().prefill_us")]
    prefill_us: u64,
    /// streams that run at once
    #[argh(option, default = "EngineConfig::default().slots")]
    slots: u32,
    /// requests that wait for a slot at most
    #[argh(option, default = "EngineConfig::default().queue")]
    queue: usize,
    /// blocks of prompt tokens that the prefix cache holds
    #[argh(option, default = "EngineConfig::default().cache_blocks")]
    cache_blocks: usize,
    /// time after which the load is reported, in milliseconds
    #[argh(option, default = "0")]
    report_lag_ms: u64,
    /// lets streams be paused
    #[argh(switch)]
    pauses: bool,
    /// refuses orders with an older fencing number
    #[argh(switch)]
    checks_fence: bool,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// name of the service
    #[argh(option, default = "ServiceConfig::default().name")]
    name: String,
    /// time that a call takes, in milliseconds
    #[argh(option, default = "0")]
    call_ms: u64,
    /// runs a call only once for each idempotency key
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
