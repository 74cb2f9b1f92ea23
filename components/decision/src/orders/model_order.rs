use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What an endpoint is ordered to do with a model.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelAction {
    /// Load the model and serve it.
    Load,
    /// Stop serving the model and unload it.
    Unload,
}

/// An order to an endpoint; it names the target state, so that repeating it has no effect.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelOrder {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The name of the model.
    pub model: String,
    /// What to do with it.
    pub action: ModelAction,
}

impl ModelOrder {
    /// Creates an order for an endpoint of the pool.
    pub fn new(endpoint: &PoolEndpoint, model: &str, action: ModelAction) -> ModelOrder {
        ModelOrder { endpoint: endpoint.name.clone(), model: model.to_string(), action }
    }
}

/// An endpoint of a pool, as in its own description.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PoolEndpoint {
    /// The name of the endpoint.
    pub name: String,
    /// The models that it serves at present.
    pub models: BTreeSet<String>,
    /// The number of models that fit into its memory.
    pub model_capacity: usize,
    /// The maximum number of concurrent streams.
    pub slots: u32,
    /// Whether it rejects orders with a fencing number lower than one it has seen.
    pub checks_fence: bool,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

impl PoolEndpoint {
    /// Whether the endpoint accepts new work for a model.
    pub fn serves(&self, model: &str) -> bool {
        !self.leaving && self.models.contains(model)
    }
}

/// One order for each endpoint to load a model that it already serves.
///
/// Such an order has no effect other than making the current fencing number known to the endpoint.
/// Endpoints that are leaving or serve no model get none.
pub fn fence_announcements(endpoints: &[PoolEndpoint]) -> Vec<ModelOrder> {
    let active = endpoints.iter().filter(|e| !e.leaving);
    let loaded = active.filter_map(|e| Some((e, e.models.first()?)));
    loaded.map(|(e, model)| ModelOrder::new(e, model, ModelAction::Load)).collect()
}
