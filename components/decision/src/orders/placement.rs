use super::{ModelAction, ModelOrder, PoolEndpoint};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of the placement of models.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PlacementConfig {
    /// The share of its slots up to which an endpoint is planned.
    pub target_utilization: f64,
    /// The share of the slots below which an endpoint is taken from a model.
    pub surplus_utilization: f64,
    /// The time for which a model must have had too many endpoints before one is taken.
    pub surplus_duration: Millis,
    /// The time between the starts of two loads, which the weight store's rate allows this pool.
    pub load_interval: Millis,
    /// The time after which a load that does not show has failed.
    pub load_timeout: Millis,
}

impl Default for PlacementConfig {
    fn default() -> PlacementConfig {
        PlacementConfig {
            target_utilization: 0.7,
            surplus_utilization: 0.4,
            surplus_duration: Millis(120_000),
            load_interval: Millis(20_000),
            load_timeout: Millis(300_000),
        }
    }
}

/// Places the models of one pool after their demand.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    cfg: PlacementConfig,
    /// Since when a model has had more endpoints than it needs.
    surplus_since: BTreeMap<String, Millis>,
    /// Loads that do not show yet, by endpoint and model, with the time of the order.
    loading: BTreeMap<(String, String), Millis>,
    last_load: Option<Millis>,
}

impl Placement {
    /// Creates a placement that has ordered nothing.
    pub fn new(cfg: PlacementConfig) -> Placement {
        Placement { cfg, ..Placement::default() }
    }

    /// Decides the next orders; `demand` gives the streams that run or wait for each model.
    ///
    /// Each model keeps one endpoint even without demand.
    pub fn plan(
        &mut self,
        endpoints: &[PoolEndpoint],
        demand: &BTreeMap<String, u32>,
        now: Millis,
    ) -> Vec<ModelOrder> {
        self.forget_ended_loads(endpoints, now);
        self.note_surplus(endpoints, demand, now);
        let mut orders = Vec::new();
        if let Some(order) = self.next_load(endpoints, demand, now) {
            orders.push(order);
            return orders;
        }
        orders.extend(self.next_unload(endpoints, demand, now));
        orders
    }

    /// Notes that an order was sent.
    pub fn on_sent(&mut self, order: &ModelOrder, now: Millis) {
        if order.action == ModelAction::Unload {
            self.surplus_since.remove(&order.model);
            return;
        }
        self.loading.insert((order.endpoint.clone(), order.model.clone()), now);
        self.last_load = Some(now);
    }

    fn forget_ended_loads(&mut self, endpoints: &[PoolEndpoint], now: Millis) {
        let limit = self.cfg.load_timeout;
        self.loading.retain(|(endpoint, model), sent| {
            let found = endpoints.iter().find(|e| e.name == *endpoint && !e.leaving);
            found.is_some_and(|e| !e.models.contains(model)) && now.since(*sent) < limit
        });
    }

    fn note_surplus(
        &mut self,
        endpoints: &[PoolEndpoint],
        demand: &BTreeMap<String, u32>,
        now: Millis,
    ) {
        self.surplus_since.retain(|model, _| demand.contains_key(model));
        for (model, streams) in demand {
            let needed = endpoints_for(endpoints, *streams, self.cfg.surplus_utilization);
            if serving(endpoints, model) > needed {
                self.surplus_since.entry(model.clone()).or_insert(now);
            } else {
                self.surplus_since.remove(model);
            }
        }
    }

    fn next_load(
        &self,
        endpoints: &[PoolEndpoint],
        demand: &BTreeMap<String, u32>,
        now: Millis,
    ) -> Option<ModelOrder> {
        let waits = self.last_load.is_some_and(|last| now.since(last) < self.cfg.load_interval);
        if waits {
            return None;
        }
        let model = demand.keys().max_by_key(|model| self.lack(endpoints, demand, model))?;
        if self.lack(endpoints, demand, model) == 0 {
            return None;
        }
        let fits = |e: &&PoolEndpoint| {
            !e.leaving && !self.is_planned(e, model) && self.planned_models(e) < e.model_capacity
        };
        let endpoint = endpoints.iter().filter(fits).min_by_key(|e| self.planned_models(e))?;
        Some(ModelOrder::new(endpoint, model, ModelAction::Load))
    }

    /// Returns how many endpoints a model still lacks, loads under way counted as done.
    fn lack(
        &self,
        endpoints: &[PoolEndpoint],
        demand: &BTreeMap<String, u32>,
        model: &str,
    ) -> usize {
        let streams = demand.get(model).copied().unwrap_or(0);
        let needed = endpoints_for(endpoints, streams, self.cfg.target_utilization);
        let planned = endpoints.iter().filter(|e| !e.leaving && self.is_planned(e, model));
        needed.saturating_sub(planned.count())
    }

    fn is_planned(&self, endpoint: &PoolEndpoint, model: &str) -> bool {
        let key = (endpoint.name.clone(), model.to_string());
        endpoint.models.contains(model) || self.loading.contains_key(&key)
    }

    fn planned_models(&self, endpoint: &PoolEndpoint) -> usize {
        let loading = self.loading.keys().filter(|(name, _)| *name == endpoint.name);
        let loading = loading.filter(|(_, model)| !endpoint.models.contains(model));
        endpoint.models.len() + loading.count()
    }

    /// Takes an endpoint from a model with a lasting surplus, if another model lacks the room.
    fn next_unload(
        &self,
        endpoints: &[PoolEndpoint],
        demand: &BTreeMap<String, u32>,
        now: Millis,
    ) -> Option<ModelOrder> {
        let lacking = demand.keys().find(|model| self.lack(endpoints, demand, model) > 0)?;
        let lasting = |since: &Millis| now.since(*since) >= self.cfg.surplus_duration;
        let surplus: BTreeSet<&String> =
            self.surplus_since.iter().filter(|(_, since)| lasting(since)).map(|(m, _)| m).collect();
        for model in surplus {
            let full = |e: &&PoolEndpoint| {
                e.serves(model)
                    && !self.is_planned(e, lacking)
                    && self.planned_models(e) >= e.model_capacity
            };
            let Some(endpoint) = endpoints.iter().find(full) else { continue };
            if serving(endpoints, model) > 1 {
                return Some(ModelOrder::new(endpoint, model, ModelAction::Unload));
            }
        }
        None
    }
}

fn serving(endpoints: &[PoolEndpoint], model: &str) -> usize {
    endpoints.iter().filter(|e| e.serves(model)).count()
}

/// Returns how many endpoints carry `streams` when each is filled to the share `fill`.
fn endpoints_for(endpoints: &[PoolEndpoint], streams: u32, fill: f64) -> usize {
    let live = endpoints.iter().filter(|e| !e.leaving);
    let slots = live.map(|e| e.slots).min().unwrap_or(1).max(1);
    let planned = f64::from(slots) * fill;
    ((f64::from(streams) / planned).ceil() as usize).max(1)
}
