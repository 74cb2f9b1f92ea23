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

/// The time that an order may take; it lies within the lease's `order_delay`.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Models that fit into the memory of an endpoint.
const ROOM: usize = 1;

/// What an engine says of itself.
#[derive(Debug, Deserialize)]
struct Description {
    serves: BTreeSet<String>,
    slots: u32,
    #[serde(default)]
    checks_fence: bool,
    #[serde(default)]
    leaving: bool,
}

/// An order as an engine takes it.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    fence: u64,
    action: ModelAction,
    model: &'a str,
}

/// The engines of a pool with the streams that run or wait for each model.
#[derive(Debug, Default)]
struct Pool {
    endpoints: Vec<PoolEndpoint>,
    addresses: BTreeMap<String, SocketAddr>,
    demand: BTreeMap<String, u32>,
}

/// Gives orders to the engines of this data centre while this daemon has the duty.
pub fn order_models(executor: &Executor) {
    let tables = &executor.tables;
    let name = format!("orders-{}", tables.cfg.data_centre);
    let mut doer = Doer {
        tables,
        duty: Duty::new(tables, &name, LeaseConfig::default(), DutyScope::DataCentre),
        placement: Placement::default(),
        models: BTreeSet::new(),
        asserted: BTreeSet::new(),
    };
    while !tables.is_stopping() {
        doer.duty.step(tables);
        doer.step();
        thread::sleep(STEP_INTERVAL);
    }
    doer.duty.close(tables);
}

/// The daemon that may give the orders of a pool.
struct Doer<'a> {
    tables: &'a Tables,
    duty: Duty,
    placement: Placement,
    /// The models that the pool has served since this daemon has the duty.
    models: BTreeSet<String>,
    /// The endpoints that have been shown the fencing number.
    asserted: BTreeSet<String>,
}

impl Doer<'_> {
    fn step(&mut self) {
        if !self.duty.is_held(self.tables.now()) {
            self.placement = Placement::new(PlacementConfig::default());
            self.models.clear();
            self.asserted.clear();
            return;
        }
        let pool = self.read_pool();
        for order in fence_announcements(&pool.endpoints) {
            if !self.asserted.contains(&order.endpoint) && self.send(&pool, &order) == Some(true) {
                self.asserted.insert(order.endpoint);
            }
        }
        let now = self.tables.now();
        for order in self.placement.plan(&pool.endpoints, &pool.demand, now) {
            // An order whose answer is lost may have taken effect.
            if self.send(&pool, &order).is_some() {
                self.placement.on_sent(&order, now);
            }
        }
    }

    /// Sends an order if the lease allows it now; says whether the endpoint took it.
    fn send(&self, pool: &Pool, order: &ModelOrder) -> Option<bool> {
        let address = pool.addresses.get(&order.endpoint)?;
        let endpoint = pool.endpoints.iter().find(|e| e.name == order.endpoint);
        let checks_fence = endpoint.is_some_and(|e| e.checks_fence);
        let destructive = order.action == ModelAction::Unload;
        let now = self.tables.now();
        let fence = self.duty.may_order(now, checks_fence, destructive)?;
        let body = OrderBody { fence, action: order.action, model: &order.model };
        let url = format!("http://{address}/v1/orders");
        let result: Result<Value, HttpError> = post_json(&url, &body, ORDER_TIMEOUT);
        match &result {
            Ok(_) => log::info!("endpoint={} {:?} {}", order.endpoint, order.action, order.model),
            Err(e) => log::warn!("endpoint={} order failed: {e}", order.endpoint),
        }
        Some(result.is_ok())
    }

    fn read_pool(&mut self) -> Pool {
        let listed = lock_read(&self.tables.addresses).clone();
        let mut pool = Pool::default();
        for (name, address) in listed {
            match read_engine(&name, address) {
                Ok((endpoint, streams)) => {
                    self.models.extend(endpoint.models.iter().cloned());
                    pool.add(endpoint, address, streams);
                }
                Err(e) => log::debug!("endpoint={name} takes no orders: {e}"),
            }
        }
        for model in &self.models {
            pool.demand.entry(model.clone()).or_default();
        }
        pool
    }
}

impl Pool {
    fn add(&mut self, endpoint: PoolEndpoint, address: SocketAddr, streams: u32) {
        let models = endpoint.models.len().max(1) as u32;
        for model in &endpoint.models {
            *self.demand.entry(model.clone()).or_default() += streams.div_ceil(models);
        }
        self.addresses.insert(endpoint.name.clone(), address);
        self.endpoints.push(endpoint);
    }
}

/// Reads an engine's description and its streams; a plain service has no load.
fn read_engine(name: &str, address: SocketAddr) -> Result<(PoolEndpoint, u32), HttpError> {
    let base = format!("http://{address}");
    let load: EndpointReport = get_json(&format!("{base}/v1/load"), READ_TIMEOUT)?;
    let description: Description = get_json(&format!("{base}/v1/description"), READ_TIMEOUT)?;
    let endpoint = PoolEndpoint {
        name: name.to_string(),
        models: description.serves,
        model_capacity: ROOM,
        slots: description.slots,
        checks_fence: description.checks_fence,
        leaving: description.leaving,
    };
    Ok((endpoint, load.running + load.waiting))
}
