use crate::manifest::{LISTS_KIND, LISTS_NAME, Manifest, PART_KIND, join};
use crate::{Lists, Objects};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use store::{Object, StoreError};

/// Lists that cannot be taken from the object API.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ReadError {
    /// The object API did not give an object.
    #[snafu(display("{source}"))]
    Fetch {
        /// The failure.
        source: StoreError,
    },
    /// A part that the manifest names is not there.
    #[snafu(display("revision {revision} of the lists: the part {part} is missing"))]
    PartMissing {
        /// The revision.
        revision: u64,
        /// The name of the part.
        part: String,
    },
    /// A part or the whole has another digest than its name or manifest says.
    #[snafu(display("revision {revision} of the lists: the digest is {found}, not {expected}"))]
    Digest {
        /// The revision.
        revision: u64,
        /// The digest that the content has.
        found: String,
        /// The digest that was expected.
        expected: String,
    },
}

/// A version of both lists, read whole and checked against its digest.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedLists {
    /// The version of the object in the store.
    pub version: u64,
    /// The revision.
    pub revision: u64,
    /// The digest.
    pub digest: String,
    /// Both lists.
    pub lists: Lists,
}

/// Reads the lists in force and keeps the parts, so that a change fetches changed parts only.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    parts: BTreeMap<String, Lists>,
}

impl Reader {
    /// Reads the version that the object API holds; `None` before the first.
    pub fn read<O: Objects>(&mut self, objects: &O) -> Result<Option<PublishedLists>, ReadError> {
        let found = objects.read(LISTS_KIND, LISTS_NAME).context(FetchSnafu)?;
        found.map(|object| self.assemble(objects, object)).transpose()
    }

    /// Completes a manifest that a watch has given.
    pub fn assemble<O: Objects>(
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

    fn fetch_parts<O: Objects>(
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
        Ok(join(self.parts.values()))
    }
}

fn check_digest(revision: u64, lists: &Lists, expected: &str) -> Result<(), ReadError> {
    let found = lists.digest();
    ensure!(found == expected, DigestSnafu { revision, found, expected });
    Ok(())
}
