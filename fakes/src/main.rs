//! Starts one stand-in as a process of its own.

use argh::FromArgs;
use fakes::{EngineConfig, ServiceConfig};
use std::io;
use std::net::SocketAddr;

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
}

/// The instance list.
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct Instances {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// model that it serves
    #[argh(option, default = "String::from(\"campo-8b\")")]
    model: String,
    /// time between two tokens of an idle engine, in milliseconds
    #[argh(option, default = "10")]
    token_ms: u64,
    /// streams at once
    #[argh(option, default = "64")]
    slots: u32,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// name of the service
    #[argh(option, default = "String::from(\"booking\")")]
    name: String,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    match args.kind {
        Kind::ObjectApi(a) => fakes::run_object_api(a.listen),
        Kind::Instances(a) => fakes::run_instances(a.listen),
        Kind::Engine(a) => {
            let cfg = EngineConfig { model: a.model, token_ms: a.token_ms, slots: a.slots };
            fakes::run_engine(a.listen, cfg)
        }
        Kind::Service(a) => fakes::run_service(a.listen, ServiceConfig { name: a.name }),
    }
}
