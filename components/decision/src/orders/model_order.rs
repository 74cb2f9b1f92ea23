use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What an endpoint is told to do with a model.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelAction {
    /// Serve the model.
    Load,
    /// Serve it no longer.
    Unload,
}

/// An absolute order: repeated, it changes nothing more.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelOrder {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// What to do with it.
    pub action: ModelAction,
}

impl ModelOrder {
    /// Orders an endpoint to do something with a model.
    pub fn new(endpoint: &PoolEndpoint, model: &str, action: ModelAction) -> ModelOrder {
        ModelOrder { endpoint: endpoint.name.clone(), model: model.to_string(), action }
    }
}

/// An endpoint of a pool as its own description shows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PoolEndpoint {
    /// The name of the endpoint.
    pub name: String,
    /// The models that it serves.
    pub models: BTreeSet<String>,
    /// The models that fit into its memory.
    pub model_capacity: usize,
    /// The streams that it runs at once.
    pub slots: u32,
    /// Whether it refuses orders with an older fencing number.
    pub checks_fence: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl PoolEndpoint {
    /// Returns whether the endpoint takes new work for a model.
    pub fn serves(&self, model: &str) -> bool {
        !self.leaving && self.models.contains(model)
    }
}

/// Returns one order for each endpoint that changes nothing but shows it the fencing number.
pub fn fence_announcements(endpoints: &[PoolEndpoint]) -> Vec<ModelOrder> {
    let live = endpoints.iter().filter(|e| !e.leaving);
    let first = live.filter_map(|e| Some((e, e.models.first()?)));
    first.map(|(e, model)| ModelOrder::new(e, model, ModelAction::Load)).collect()
}
