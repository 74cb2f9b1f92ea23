use crate::object_feed::to_json;
use crate::packing::pack;
use decision::routing::{Directory, SetDigest};
use messages::feed::EndpointChange;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Number of packed copies that are kept: followers that lost the same source lack the same groups.
const MAX_COPIES: usize = 8;

/// Endpoints, packed for followers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PackedEndpoints {
    /// The ids of the endpoints whose entries are missing.
    pub(crate) missing: Vec<String>,
    pub(crate) packed: Rc<[u8]>,
}

/// The state of the registry that copies were made from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct State {
    /// The last change.
    sequence: u64,
    /// The number of endpoints whose entries are missing.
    missing: usize,
}

/// Copies of the registry for followers, whole or of the groups that differ. Cached because many may
/// request them at the same time.
#[derive(Debug, Default)]
pub(crate) struct RegistryCopies {
    state: State,
    digest: Option<SetDigest>,
    /// By the groups that they hold; `None` for all.
    packed: BTreeMap<Option<BTreeSet<u32>>, PackedEndpoints>,
}

impl RegistryCopies {
    /// Drops copies of an earlier state; `sequence` is the number of the last change.
    fn update(&mut self, directory: &Directory, sequence: u64) {
        let state = State { sequence, missing: directory.missing() };
        if self.state != state {
            *self = RegistryCopies { state, ..RegistryCopies::default() };
        }
    }

    /// Returns the digest of the registry.
    pub(crate) fn digest(&mut self, directory: &Directory, sequence: u64) -> &SetDigest {
        self.update(directory, sequence);
        self.digest.get_or_insert_with(|| directory.digest())
    }

    /// Returns the endpoints of some groups of the digest, `None` for all.
    pub(crate) fn packed(
        &mut self,
        directory: &mut Directory,
        sequence: u64,
        groups: Option<&BTreeSet<u32>>,
    ) -> Result<PackedEndpoints, String> {
        self.update(directory, sequence);
        let key = groups.cloned();
        if let Some(copy) = self.packed.get(&key) {
            return Ok(copy.clone());
        }
        let mut endpoints = Vec::new();
        let mut missing = Vec::new();
        for copied in directory.copy(groups) {
            let registration = to_json(copied.registration);
            endpoints.push(EndpointChange { endpoint: copied.id.to_owned(), registration });
            missing.extend(copied.is_missing.then(|| copied.id.to_owned()));
        }
        let copy = PackedEndpoints { missing, packed: Rc::from(pack(&endpoints)?) };
        if self.packed.len() >= MAX_COPIES {
            self.packed.clear();
        }
        self.packed.insert(key, copy.clone());
        Ok(copy)
    }
}
