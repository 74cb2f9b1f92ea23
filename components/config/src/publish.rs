use crate::manifest::{Bundle, INLINE_LIMIT_BYTES, LISTS_KIND, LISTS_NAME, PART_KIND};
use crate::reader::{PublishedLists, ReadError, Reader};
use crate::{Lists, Objects};
use snafu::{ResultExt, Snafu, ensure};
use store::StoreError;

/// Writes whose answer is lost are repeated at most this often.
const ATTEMPTS: u32 = 4;

/// An edit of the lists that was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PublishError {
    /// Another edit was accepted since the one that this edit starts from; nothing was written.
    #[snafu(display(
        "revision {active_revision} is in force, but the edit starts from revision {base_revision}; this call \
         changed nothing"
    ))]
    Conflict {
        /// The revision that the edit starts from.
        base_revision: u64,
        /// The revision that the object API holds.
        active_revision: u64,
    },
    /// The revision that the object API holds cannot be read; nothing was written.
    #[snafu(display("{source}; this call changed nothing"))]
    Read {
        /// The failure.
        source: ReadError,
    },
    /// The object API refused a write or was not reached; nothing was written.
    #[snafu(display("{source}; this call changed nothing"))]
    Write {
        /// The failure.
        source: StoreError,
    },
    /// The write may have been applied.
    #[snafu(display("revision {revision} may have been accepted; apply it again: {text}"))]
    Unknown {
        /// The revision that the edit would have.
        revision: u64,
        /// What failed.
        text: String,
    },
}

/// How an edit ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The revision of the edit.
    pub revision: u64,
    /// Its digest.
    pub digest: String,
    /// Whether it was in the object API before this call.
    pub already_applied: bool,
}

/// An edit of the lists.
#[derive(Clone, Copy, Debug)]
pub struct Edit<'a> {
    /// The lists after the edit.
    pub lists: &'a Lists,
    /// The revision that the edit starts from; 0 before the first.
    pub base_revision: u64,
    /// A revision that the new one must exceed, for a store that was restored older.
    pub above_revision: u64,
    /// The most bytes of lists that stand in the manifest itself.
    pub inline_limit_bytes: usize,
}

impl<'a> Edit<'a> {
    /// Prepares an edit that starts from a revision.
    pub fn new(lists: &'a Lists, base_revision: u64) -> Edit<'a> {
        Edit { lists, base_revision, above_revision: 0, inline_limit_bytes: INLINE_LIMIT_BYTES }
    }

    /// Writes the edit, unless it is there already or another one came first.
    ///
    /// A call may be repeated at any time: the digest tells whether an earlier one was applied,
    /// and the condition on the version lets at most one of them be applied.
    pub fn publish<O: Objects>(&self, objects: &O) -> Result<Accepted, PublishError> {
        let current = Reader::default().read(objects).context(ReadSnafu)?;
        let digest = self.lists.digest();
        let same = |c: &&PublishedLists| c.digest == digest && c.revision > self.above_revision;
        if let Some(found) = current.as_ref().filter(same) {
            return Ok(accepted(found.revision, digest, true));
        }
        let (active_revision, version) = current.map_or((0, 0), |c| (c.revision, c.version));
        ensure!(
            active_revision == self.base_revision,
            ConflictSnafu { base_revision: self.base_revision, active_revision }
        );
        let revision = active_revision.max(self.above_revision) + 1;
        let bundle = Bundle::new(revision, self.lists, self.inline_limit_bytes);
        self.write_parts(objects, &bundle)?;
        self.write_manifest(objects, &bundle, version)
    }

    fn write_parts<O: Objects>(&self, objects: &O, bundle: &Bundle) -> Result<(), PublishError> {
        for (name, part) in &bundle.parts {
            // A part is named by its content, so one that is there already is the same.
            let written = repeat(|| objects.write(PART_KIND, name, part, 0));
            match written {
                Ok(_) | Err(StoreError::Conflict { .. }) => {}
                Err(source) => return Err(PublishError::Write { source }),
            }
        }
        Ok(())
    }

    fn write_manifest<O: Objects>(
        &self,
        objects: &O,
        bundle: &Bundle,
        version: u64,
    ) -> Result<Accepted, PublishError> {
        let manifest = &bundle.manifest;
        let mut lost = None;
        for _ in 0..ATTEMPTS {
            let written = objects.write(LISTS_KIND, LISTS_NAME, manifest, version);
            match written {
                Ok(_) => return Ok(accepted(manifest.revision, manifest.digest.clone(), false)),
                Err(StoreError::Conflict { .. }) => return self.resolve(objects, bundle, lost),
                Err(e) if e.may_have_written() => lost = Some(e),
                Err(source) => match lost {
                    None => return Err(PublishError::Write { source }),
                    Some(_) => break,
                },
            }
        }
        let revision = manifest.revision;
        let text = lost.map_or_else(String::new, |e| e.to_string());
        UnknownSnafu { revision, text }.fail()
    }

    /// Finds out whether an earlier write of this edit made the condition fail.
    fn resolve<O: Objects>(
        &self,
        objects: &O,
        bundle: &Bundle,
        lost: Option<StoreError>,
    ) -> Result<Accepted, PublishError> {
        let revision = bundle.manifest.revision;
        let unknown = |text: String| PublishError::Unknown { revision, text };
        let current = match Reader::default().read(objects) {
            Ok(current) => current,
            Err(source) if lost.is_none() => return Err(PublishError::Read { source }),
            Err(e) => return Err(unknown(e.to_string())),
        };
        let active_revision = current.as_ref().map_or(0, |c| c.revision);
        match current {
            Some(PublishedLists { revision, digest, .. }) if digest == bundle.manifest.digest => {
                Ok(accepted(revision, digest, lost.is_none()))
            }
            _ if lost.is_some() && active_revision > revision => Err(unknown(format!(
                "revision {active_revision} has replaced it or came before it"
            ))),
            _ => ConflictSnafu { base_revision: self.base_revision, active_revision }.fail(),
        }
    }
}

fn accepted(revision: u64, digest: String, already_applied: bool) -> Accepted {
    Accepted { revision, digest, already_applied }
}

/// Repeats a write whose answer is lost; the write must be harmless twice.
fn repeat(write: impl Fn() -> Result<u64, StoreError>) -> Result<u64, StoreError> {
    let mut written = write();
    for _ in 1..ATTEMPTS {
        match &written {
            Err(e) if e.may_have_written() => written = write(),
            _ => break,
        }
    }
    written
}
