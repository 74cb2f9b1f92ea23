use crate::duty::{Duty, DutyScope};
use crate::executor::Executor;
use crate::tables::{Tables, lock_read};
use decision::load::EndpointReport;
use decision::orders::{
    LeaseConfig, ModelAction, ModelOrder, Placement, PlacementConfig, PoolEndpoint,
    fence_announcements,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use utils::{HttpError, get_json, post_json};

const STEP_INTERVAL: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Must lie within the `order_delay` of the lease.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of models that fit into the memory of an endpoint.
const MODEL_CAPACITY: usize = 1;

/// The fields of `/v1/description` that model placement uses.
#[derive(Debug, Deserialize)]
struct Description {
    serves: BTreeSet<String>,
    slots: u32,
    #[serde(default)]
    checks_fence: bool,
    #[serde(default)]
    leaving: bool,
}

/// The body of an order to an engine.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    fence: u64,
    action: ModelAction,
    model: &'a str,
}

/// The engines of this data centre as last read.
#[derive(Debug, Default)]
struct EngineSnapshot {
    endpoints: Vec<PoolEndpoint>,
    addresses: BTreeMap<String, SocketAddr>,
    /// The number of streams that run or wait for each model.
    demand: BTreeMap<String, u32>,
}

/// Orders the engines of this data centre to load and unload models while this daemon owns the
/// duty.
pub fn order_models(executor: &Executor) {
    let tables = &executor.tables;
    let name = format!("orders-{}", tables.cfg.data_centre);
    let mut sender = OrderSender {
        tables,
        duty: Duty::new(tables, &name, LeaseConfig::default(), DutyScope::DataCentre),
        placement: Placement::default(),
        models: BTreeSet::new(),
        announced: BTreeSet::new(),
    };
    while !tables.is_stopping() {
        sender.duty.acquire_or_renew(tables);
        sender.step();
        thread::sleep(STEP_INTERVAL);
    }
    sender.duty.release(tables);
}

/// Sends orders to engines while this daemon owns the duty.
struct OrderSender<'a> {
    tables: &'a Tables,
    duty: Duty,
    placement: Placement,
    /// The models that were served at any time since this daemon became the owner.
    models: BTreeSet<String>,
    /// The endpoints that have accepted the fencing number.
    announced: BTreeSet<String>,
}

impl OrderSender<'_> {
    fn step(&mut self) {
        if !self.duty.is_owner(self.tables.now()) {
            self.placement = Placement::new(PlacementConfig::default());
            self.models.clear();
            self.announced.clear();
            return;
        }
        let snapshot = self.read_engines();
        for order in fence_announcements(&snapshot.endpoints) {
            if !self.announced.contains(&order.endpoint)
                && self.send(&snapshot, &order) == Some(true)
            {
                self.announced.insert(order.endpoint);
            }
        }
        let now = self.tables.now();
        for order in self.placement.plan(&snapshot.endpoints, &snapshot.demand, now) {
            // A failed order counts as sent, since it may have taken effect if its response was
            // lost.
            if self.send(&snapshot, &order).is_some() {
                self.placement.on_sent(&order, now);
            }
        }
    }

    /// Sends an order and returns whether the endpoint accepted it; `None` if it was not sent,
    /// because the lease does not allow it now or the endpoint is unknown.
    fn send(&self, snapshot: &EngineSnapshot, order: &ModelOrder) -> Option<bool> {
        let address = snapshot.addresses.get(&order.endpoint)?;
        let endpoint = snapshot.endpoints.iter().find(|e| e.name == order.endpoint);
        let checks_fence = endpoint.is_some_and(|e| e.checks_fence);
        let destructive = order.action == ModelAction::Unload;
        let now = self.tables.now();
        let fence = self.duty.may_order(now, checks_fence, destructive)?;
        let body = OrderBody { fence, action: order.action, model: &order.model };
        let url = format!("http://{address}/v1/orders");
        let result: Result<Value, HttpError> = post_json(&url, &body, ORDER_TIMEOUT);
        match &result {
            Ok(_) => log::info!(
                "endpoint={} accepted the order {:?} {}",
                order.endpoint,
                order.action,
                order.model
            ),
            Err(e) => {
                log::warn!("endpoint={} order failed or its response was lost: {e}", order.endpoint)
            }
        }
        Some(result.is_ok())
    }

    fn read_engines(&mut self) -> EngineSnapshot {
        let listed = lock_read(&self.tables.addresses).clone();
        let mut snapshot = EngineSnapshot::default();
        for (name, address) in listed {
            match read_engine(&name, address) {
                Ok((endpoint, streams)) => {
                    self.models.extend(endpoint.models.iter().cloned());
                    snapshot.add(endpoint, address, streams);
                }
                Err(e) => log::debug!("endpoint={name} is skipped for model orders: {e}"),
            }
        }
        for model in &self.models {
            snapshot.demand.entry(model.clone()).or_default();
        }
        snapshot
    }
}

impl EngineSnapshot {
    fn add(&mut self, endpoint: PoolEndpoint, address: SocketAddr, streams: u32) {
        let models = endpoint.models.len().max(1) as u32;
        for model in &endpoint.models {
            *self.demand.entry(model.clone()).or_default() += streams.div_ceil(models);
        }
        self.addresses.insert(endpoint.name.clone(), address);
        self.endpoints.push(endpoint);
    }
}

/// Reads the description and the number of streams of an engine; fails for a plain service, which
/// reports no load.
fn read_engine(name: &str, address: SocketAddr) -> Result<(PoolEndpoint, u32), HttpError> {
    let base = format!("http://{address}");
    let load: EndpointReport = get_json(&format!("{base}/v1/load"), READ_TIMEOUT)?;
    let description: Description = get_json(&format!("{base}/v1/description"), READ_TIMEOUT)?;
    let endpoint = PoolEndpoint {
        name: name.to_string(),
        models: description.serves,
        model_capacity: MODEL_CAPACITY,
        slots: description.slots,
        checks_fence: description.checks_fence,
        leaving: description.leaving,
    };
    Ok((endpoint, load.running + load.waiting))
}
