use crate::adapter::Adapter;
use crate::clock::now;
use crate::duties::{hold_duties, send_last_report, start_reports};
use crate::gateway::Gateway;
use crate::listener::{Role, accept, bind};
use crate::log::{self, Log};
use crate::object_feed::{Configurations, Endpoints};
use crate::reach_probe::probe_endpoints;
use crate::settings::{Settings, SettingsFile};
use crate::shutdown::IDLE_GRACE_PERIOD;
use crate::software_versions::keep_versions;
use crate::store_reader::read_store;
use crate::stream_writer::write_streams;
use crate::update_source::UpdateSource;
use crate::{follow, load_reports};
use decision::Millis;
use snafu::{ResultExt, Snafu};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use tracing_subscriber::filter::LevelFilter;

/// Time between rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between looks at the open requests during a shutdown.
const SHUTDOWN_INTERVAL: Duration = Duration::from_millis(60);
/// Rounds of maintenance between checks of the settings file.
const ROUNDS_PER_SETTINGS_CHECK: u32 = 4;
/// Time between attempts to listen on an address that is in use.
const BIND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the stop timeout of a former process in which its addresses become free.
const ADDRESS_MARGIN: Millis = Millis(2_000);
/// Part of the stop timeout reserved for closing the log and exiting.
const EXIT_MARGIN: Millis = Millis(300);

/// Why a gateway could not be started.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A listening socket cannot be opened.
    #[snafu(display("{address}: cannot listen: {source}"))]
    Listen {
        /// The address of the socket.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The event loop or a signal handler cannot be set up.
    #[snafu(display("cannot set up the event loop: {source}"))]
    EventLoop {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Runs a gateway until SIGTERM, then finishes open requests and returns within the stop timeout.
/// `seed` seeds the random number generator and identifies this incarnation.
pub fn run<A: Adapter>(
    adapter: A,
    settings: Settings,
    settings_file: Option<SettingsFile>,
    seed: u64,
    level: LevelFilter,
) -> Result<(), RunError> {
    let log = log::start(level).map(Rc::new);
    let runtime = Builder::new_current_thread().enable_all().build().context(EventLoopSnafu)?;
    let gateway = Rc::new(Gateway::new(adapter, settings, seed));
    let result = LocalSet::new().block_on(&runtime, serve(gateway, log.clone(), settings_file));
    drop(runtime);
    if let Some(log) = log.and_then(Rc::into_inner) {
        log.close();
    }
    result
}

async fn serve<A: Adapter>(
    gateway: Rc<Gateway<A>>,
    log: Option<Rc<Log>>,
    settings_file: Option<SettingsFile>,
) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).context(EventLoopSnafu)?;
    let hangup = signal(SignalKind::hangup()).context(EventLoopSnafu)?;
    let settings = gateway.settings();
    let listeners = tokio::select! {
        listeners = bind_all(&settings, log.as_deref()) => listeners?,
        _ = terminate.recv() => return Ok(()),
    };
    let accepting = listeners
        .into_iter()
        .map(|(listener, role)| spawn_local(accept(gateway.clone(), listener, role)))
        .collect();
    if settings.listen_peers.is_some() {
        // The reader election decides whether this daemon reads the store.
        gateway.update_source.set(UpdateSource::Peer);
    }
    spawn_local(read_store::<A, Configurations>(gateway.clone()));
    spawn_local(read_store::<A, Endpoints>(gateway.clone()));
    spawn_local(keep_versions(gateway.clone()));
    spawn_local(write_streams(gateway.clone()));
    spawn_local(probe_endpoints(gateway.clone()));
    if settings.duties.is_some() {
        spawn_local(hold_duties(gateway.clone()));
        start_reports(&gateway);
    }
    if settings.listen_peers.is_some() {
        spawn_local(follow::run(gateway.clone()));
        spawn_local(load_reports::exchange_loads(gateway.clone()));
    }
    spawn_local(maintenance_loop(gateway.clone(), log, settings_file, hangup));
    tracing::info!(event = "started", name = %settings.name, listen = %settings.listen,
        store = %settings.store);
    terminate.recv().await;
    shut_down(&gateway, accepting).await;
    send_last_report(&gateway).await;
    Ok(())
}

/// Opens the listening sockets of all roles. Metrics, whose address comes from a command-line flag, are not
/// served at an address that the settings give to another role.
async fn bind_all(
    settings: &Settings,
    log: Option<&Log>,
) -> Result<Vec<(TcpListener, Role)>, RunError> {
    let served = [(settings.listen, Role::Clients)]
        .into_iter()
        .chain(settings.listen_ready.map(|address| (address, Role::Monitoring)))
        .chain(settings.listen_peers.map(|address| (address, Role::Peers)));
    let mut addresses: Vec<(SocketAddr, Role)> = served.collect();
    if let Some(address) = settings.listen_metrics {
        if addresses.iter().any(|(other, _)| overlap(*other, address)) {
            tracing::error!(event = "metrics_not_served", %address);
        } else {
            addresses.push((address, Role::Monitoring));
        }
    }
    let deadline = now() + settings.stop_timeout + ADDRESS_MARGIN;
    let mut listeners = Vec::new();
    for (address, role) in addresses {
        listeners.push((bind_when_free(address, deadline, log).await?, role));
    }
    Ok(listeners)
}

/// Whether no two sockets can listen on these addresses.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() == b.port() && (a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified())
}

/// Opens a listening socket. While its address is in use, as by a former process that is still stopping
/// or by a connection with that local port, it waits until `deadline`.
async fn bind_when_free(
    address: SocketAddr,
    deadline: Millis,
    log: Option<&Log>,
) -> Result<TcpListener, RunError> {
    let mut is_waiting = false;
    loop {
        match bind(address) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && now() < deadline => {
                if !is_waiting {
                    tracing::warn!(event = "address_in_use", %address);
                    log.into_iter().for_each(Log::flush);
                }
                is_waiting = true;
                sleep(BIND_INTERVAL).await;
            }
            result => return result.context(ListenSnafu { address }),
        }
    }
}

/// Waits for open requests to finish, closes idle connections and the listeners, and returns at the stop
/// timeout at the latest. From then on no request is accepted.
async fn shut_down<A: Adapter>(gateway: &Rc<Gateway<A>>, accepting: Vec<JoinHandle<()>>) {
    let started = now();
    let deadline = started + gateway.settings().stop_timeout - EXIT_MARGIN;
    tracing::info!(event = "stopping", clients = gateway.metrics.clients.get());
    gateway.shutdown.start(started, deadline);
    while now() < deadline.min(started + IDLE_GRACE_PERIOD) {
        sleep(SHUTDOWN_INTERVAL).await;
    }
    finish_requests(gateway, deadline).await;
    gateway.shutdown.close_listeners();
    for task in accepting {
        if let Err(e) = task.await {
            tracing::error!(event = "listener_failed", error = %e);
        }
    }
    // Those of connections that were accepted since.
    finish_requests(gateway, deadline).await;
    gateway.shutdown.refuse_requests();
    tracing::info!(
        event = "stopped",
        clients = gateway.metrics.clients.get(),
        after_ms = now().since(started).0,
    );
}

/// Closes idle connections and waits until no client is connected and no request of another daemon is open,
/// until `deadline` at the latest.
async fn finish_requests<A: Adapter>(gateway: &Gateway<A>, deadline: Millis) {
    while now() < deadline {
        gateway.shutdown.close_idle();
        if gateway.metrics.clients.get() == 0 && gateway.relayed_connections.get() == 0 {
            return;
        }
        sleep(SHUTDOWN_INTERVAL).await;
    }
}

async fn maintenance_loop<A: Adapter>(
    gateway: Rc<Gateway<A>>,
    log: Option<Rc<Log>>,
    settings_file: Option<SettingsFile>,
    mut hangup: Signal,
) {
    let mut rounds = 0;
    let mut text = String::new();
    loop {
        let signalled = timeout(MAINTENANCE_INTERVAL, hangup.recv()).await.is_ok();
        gateway.run_maintenance(now());
        if let Some(log) = &log {
            log.flush();
        }
        rounds = (rounds + 1) % ROUNDS_PER_SETTINGS_CHECK;
        if let Some(file) = &settings_file
            && (signalled || rounds == 0)
        {
            reload_settings(&gateway, file, &mut text, signalled);
        }
    }
}

fn reload_settings<A: Adapter>(
    gateway: &Gateway<A>,
    file: &SettingsFile,
    last_text: &mut String,
    signalled: bool,
) {
    let path = file.path.display();
    let text = match std::fs::read_to_string(&file.path) {
        Ok(text) => text,
        Err(e) => {
            if signalled {
                tracing::error!(event = "settings_unreadable", %path, error = %e);
            }
            return;
        }
    };
    if text == *last_text {
        return;
    }
    match (file.parse)(&text) {
        Ok(parsed) => {
            // The address for metrics comes from a command-line flag.
            let listen_metrics = gateway.settings().listen_metrics;
            let settings = Settings { listen_metrics, ..parsed };
            if settings != *gateway.settings() {
                tracing::info!(event = "settings_reloaded", %path, signalled);
                gateway.settings.replace(Rc::new(settings));
            }
        }
        Err(error) => tracing::error!(event = "settings_wrong", %path, error),
    }
    *last_text = text;
}
