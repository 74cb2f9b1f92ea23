use super::{ModelAction, ModelOrder, PoolEndpoint};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Settings for the placement of models in one pool.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PlacementConfig {
    /// The share of an endpoint's slots that is planned to be in use when endpoints are added.
    pub target_utilization: f64,
    /// The maximum share of slots in use that a model's remaining endpoints may have for one
    /// endpoint to count as surplus.
    pub surplus_utilization: f64,
    /// How long a model must have had a surplus of endpoints before it is unloaded from one.
    pub surplus_duration: Millis,
    /// The minimum time between two loads; the throughput of the weight store limits it.
    pub load_interval: Millis,
    /// The time after which an ordered load that is not reported by the endpoint counts as failed.
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

/// Decides on which endpoints of one pool each model is loaded, according to demand.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    cfg: PlacementConfig,
    /// Since when each model has had more endpoints than it needs.
    surplus_since: BTreeMap<String, Millis>,
    /// When each load was ordered that is not yet reported as done, by endpoint and model.
    loading: BTreeMap<(String, String), Millis>,
    last_load: Option<Millis>,
}

impl Placement {
    /// Creates the state of a pool whose endpoints have been sent no order.
    pub fn new(cfg: PlacementConfig) -> Placement {
        Placement { cfg, ..Placement::default() }
    }

    /// Returns at most one order; `demand` gives the number of running and waiting streams of each
    /// model.
    ///
    /// Each model in `demand` keeps one endpoint even if it has no streams.
    pub fn plan(
        &mut self,
        endpoints: &[PoolEndpoint],
        demand: &BTreeMap<String, u32>,
        now: Millis,
    ) -> Vec<ModelOrder> {
        self.remove_ended_loads(endpoints, now);
        self.record_surplus(endpoints, demand, now);
        let mut orders = Vec::new();
        if let Some(order) = self.next_load(endpoints, demand, now) {
            orders.push(order);
            return orders;
        }
        orders.extend(self.next_unload(endpoints, demand, now));
        orders
    }

    /// Records that an order was sent.
    pub fn on_sent(&mut self, order: &ModelOrder, now: Millis) {
        if order.action == ModelAction::Unload {
            self.surplus_since.remove(&order.model);
            return;
        }
        self.loading.insert((order.endpoint.clone(), order.model.clone()), now);
        self.last_load = Some(now);
    }

    /// Drops ordered loads that are done or timed out, or whose endpoint is leaving or gone.
    fn remove_ended_loads(&mut self, endpoints: &[PoolEndpoint], now: Millis) {
        let limit = self.cfg.load_timeout;
        self.loading.retain(|(endpoint, model), sent| {
            let found = endpoints.iter().find(|e| e.name == *endpoint && !e.leaving);
            found.is_some_and(|e| !e.models.contains(model)) && now.since(*sent) < limit
        });
    }

    fn record_surplus(
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
        let too_soon = self.last_load.is_some_and(|last| now.since(last) < self.cfg.load_interval);
        if too_soon {
            return None;
        }
        let model = demand.keys().max_by_key(|model| self.shortfall(endpoints, demand, model))?;
        if self.shortfall(endpoints, demand, model) == 0 {
            return None;
        }
        let fits = |e: &&PoolEndpoint| {
            !e.leaving && !self.is_planned(e, model) && self.planned_models(e) < e.model_capacity
        };
        let endpoint = endpoints.iter().filter(fits).min_by_key(|e| self.planned_models(e))?;
        Some(ModelOrder::new(endpoint, model, ModelAction::Load))
    }

    /// How many more endpoints a model needs; ordered loads count as done.
    fn shortfall(
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

    /// Returns an order to unload a model with a lasting surplus from a full endpoint, if another
    /// model lacks one.
    fn next_unload(
        &self,
        endpoints: &[PoolEndpoint],
        demand: &BTreeMap<String, u32>,
        now: Millis,
    ) -> Option<ModelOrder> {
        let underserved =
            demand.keys().find(|model| self.shortfall(endpoints, demand, model) > 0)?;
        let lasting = |since: &Millis| now.since(*since) >= self.cfg.surplus_duration;
        let surplus_models: BTreeSet<&String> =
            self.surplus_since.iter().filter(|(_, since)| lasting(since)).map(|(m, _)| m).collect();
        for model in surplus_models {
            let full = |e: &&PoolEndpoint| {
                e.serves(model)
                    && !self.is_planned(e, underserved)
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

/// How many endpoints `streams` need if each uses the share `utilization` of its slots; at least 1.
///
/// Counts with the lowest number of slots among the endpoints that are not leaving.
fn endpoints_for(endpoints: &[PoolEndpoint], streams: u32, utilization: f64) -> usize {
    let active = endpoints.iter().filter(|e| !e.leaving);
    let slots = active.map(|e| e.slots).min().unwrap_or(1).max(1);
    let streams_per_endpoint = f64::from(slots) * utilization;
    ((f64::from(streams) / streams_per_endpoint).ceil() as usize).max(1)
}
