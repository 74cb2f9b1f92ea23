use argh::FromArgs;
use std::net::SocketAddr;

/// The daemon of chervilspur.
#[derive(Clone, Debug, FromArgs)]
pub struct Settings {
    /// address to listen on, an IP number and a port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
    /// name of this instance
    #[argh(option, default = "String::from(\"daemon\")")]
    pub name: String,
    /// data centre of this instance
    #[argh(option, default = "String::from(\"local\")")]
    pub data_centre: String,
    /// region of this instance
    #[argh(option, default = "String::from(\"local\")")]
    pub region: String,
    /// address of the platform's object API
    #[argh(option)]
    pub store: SocketAddr,
    /// address of the platform's instance list
    #[argh(option)]
    pub instances: SocketAddr,
    /// callers served at once
    #[argh(option, default = "512")]
    pub callers: usize,
}
