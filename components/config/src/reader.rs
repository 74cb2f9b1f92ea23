use crate::manifest::{LISTS_KIND, LISTS_NAME, Manifest, PART_KIND, join_parts};
use crate::{Lists, ObjectStore};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use store::{Object, StoreError};

/// A failure to read the lists from the object API.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ReadError {
    /// A call to the object API failed.
    #[snafu(display("{source}"))]
    Fetch {
        /// The error of the call.
        source: StoreError,
    },
    /// A part that the manifest names does not exist.
    #[snafu(display("lists revision {revision}: part {part} is missing in the object API"))]
    PartMissing {
        /// The revision of the manifest.
        revision: u64,
        /// The name of the part.
        part: String,
    },
    /// The digest of a part does not match its name, or that of the complete lists does not match
    /// the manifest.
    #[snafu(display(
        "lists revision {revision}: digest mismatch: found {found}, expected {expected}"
    ))]
    Digest {
        /// The revision of the manifest.
        revision: u64,
        /// The digest of the content.
        found: String,
        /// The digest in the manifest, or the name of the part.
        expected: String,
    },
}

/// A complete revision of the lists that matches its digest.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedLists {
    /// The version of the manifest object in the store, for conditional writes.
    pub version: u64,
    /// The revision of the lists.
    pub revision: u64,
    /// The digest of the lists.
    pub digest: String,
    /// The lists themselves.
    pub lists: Lists,
}

/// Reads the active lists. Caches their parts, so that a new revision fetches only the parts that
/// changed.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    parts: BTreeMap<String, Lists>,
}

impl Reader {
    /// Reads the revision in the object API; `None` before the first is published.
    pub fn read<O: ObjectStore>(
        &mut self,
        objects: &O,
    ) -> Result<Option<PublishedLists>, ReadError> {
        let found = objects.read(LISTS_KIND, LISTS_NAME).context(FetchSnafu)?;
        found.map(|object| self.assemble(objects, object)).transpose()
    }

    /// Completes a manifest, for example one from a watch, with its parts.
    pub fn assemble<O: ObjectStore>(
        &mut self,
        objects: &O,
        object: Object<Manifest>,
    ) -> Result<PublishedLists, ReadError> {
        let Object { version, value: Manifest { revision, digest, lists, parts } } = object;
        let lists = match lists {
            Some(lists) => lists,
            None => self.fetch_parts(objects, revision, parts)?,
        };
        check_digest(revision, &lists, &digest)?;
        Ok(PublishedLists { version, revision, digest, lists })
    }

    fn fetch_parts<O: ObjectStore>(
        &mut self,
        objects: &O,
        revision: u64,
        names: Vec<String>,
    ) -> Result<Lists, ReadError> {
        self.parts.retain(|name, _| names.contains(name));
        for name in names {
            if self.parts.contains_key(&name) {
                continue;
            }
            let found: Option<Object<Lists>> =
                objects.read(PART_KIND, &name).context(FetchSnafu)?;
            let Some(object) = found else {
                return PartMissingSnafu { revision, part: name }.fail();
            };
            check_digest(revision, &object.value, &name)?;
            self.parts.insert(name, object.value);
        }
        Ok(join_parts(self.parts.values()))
    }
}

fn check_digest(revision: u64, lists: &Lists, expected: &str) -> Result<(), ReadError> {
    let found = lists.digest();
    ensure!(found == expected, DigestSnafu { revision, found, expected });
    Ok(())
}
