use crate::manifest::{Bundle, INLINE_LIMIT_BYTES, LISTS_KIND, LISTS_NAME, PART_KIND};
use crate::reader::{PublishedLists, ReadError, Reader};
use crate::{Lists, ObjectStore};
use snafu::{ResultExt, Snafu, ensure};
use store::StoreError;

/// The maximum number of attempts at a write whose response is lost.
const WRITE_ATTEMPTS: u32 = 4;

/// Why an edit of the lists was not accepted, or may not have been.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PublishError {
    /// The edit is not based on the active revision, usually because another edit was accepted
    /// first. The lists are unchanged.
    #[snafu(display(
        "revision {active_revision} is active, but the edit starts from revision {base_revision}; \
         this call changed nothing"
    ))]
    Conflict {
        /// The revision that the edit starts from.
        base_revision: u64,
        /// The revision in the object API; 0 when there is none.
        active_revision: u64,
    },
    /// The active revision cannot be read. The lists are unchanged.
    #[snafu(display("{source}; this call changed nothing"))]
    Read {
        /// The error of the read.
        source: ReadError,
    },
    /// The object API rejected a write or was unreachable. The active lists are unchanged.
    #[snafu(display("{source}; this call changed nothing"))]
    Write {
        /// The error of the write.
        source: StoreError,
    },
    /// The write of the manifest may have been applied. The edit can be published again: the digest
    /// shows whether it was.
    #[snafu(display("revision {revision} may have been accepted; apply it again: {text}"))]
    Unknown {
        /// The revision that the edit has if it was accepted.
        revision: u64,
        /// The error of the write, or the reason why its outcome is unknown.
        text: String,
    },
}

/// An accepted edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The revision of the edit.
    pub revision: u64,
    /// The digest of the lists.
    pub digest: String,
    /// Whether the edit was in the object API before this call.
    pub already_applied: bool,
}

/// An edit of the lists, published as a new revision.
#[derive(Clone, Copy, Debug)]
pub struct Edit<'a> {
    /// The lists after the edit.
    pub lists: &'a Lists,
    /// The revision that the edit is based on; 0 when there is none yet.
    pub base_revision: u64,
    /// A revision that the new one must exceed. Needed when the store was restored to an older
    /// state than the daemons have.
    pub above_revision: u64,
    /// The largest canonical text of lists that is stored in the manifest itself; larger lists are
    /// split into parts.
    pub inline_limit_bytes: usize,
}

impl<'a> Edit<'a> {
    /// Creates an edit based on `base_revision`, with the default inline limit.
    pub fn new(lists: &'a Lists, base_revision: u64) -> Edit<'a> {
        Edit { lists, base_revision, above_revision: 0, inline_limit_bytes: INLINE_LIMIT_BYTES }
    }

    /// Publishes the edit, unless it is already published or another edit was accepted first.
    ///
    /// Safe to call again at any time: the digest shows whether an earlier call was applied, and
    /// the conditional write applies at most one of them.
    pub fn publish<O: ObjectStore>(&self, objects: &O) -> Result<Accepted, PublishError> {
        let current = Reader::default().read(objects).context(ReadSnafu)?;
        let digest = self.lists.digest();
        let is_published =
            |c: &&PublishedLists| c.digest == digest && c.revision > self.above_revision;
        if let Some(found) = current.as_ref().filter(is_published) {
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

    fn write_parts<O: ObjectStore>(
        &self,
        objects: &O,
        bundle: &Bundle,
    ) -> Result<(), PublishError> {
        for (name, part) in &bundle.parts {
            // Parts are named by the digest of their content, so an existing part is identical.
            let written = retry_lost_write(|| objects.write(PART_KIND, name, part, 0));
            match written {
                Ok(_) | Err(StoreError::Conflict { .. }) => {}
                Err(source) => return Err(PublishError::Write { source }),
            }
        }
        Ok(())
    }

    fn write_manifest<O: ObjectStore>(
        &self,
        objects: &O,
        bundle: &Bundle,
        version: u64,
    ) -> Result<Accepted, PublishError> {
        let manifest = &bundle.manifest;
        let mut lost_response = None;
        for _ in 0..WRITE_ATTEMPTS {
            let written = objects.write(LISTS_KIND, LISTS_NAME, manifest, version);
            match written {
                Ok(_) => return Ok(accepted(manifest.revision, manifest.digest.clone(), false)),
                Err(StoreError::Conflict { .. }) => {
                    return self.resolve_conflict(objects, bundle, lost_response);
                }
                Err(e) if e.may_have_written() => lost_response = Some(e),
                Err(source) => match lost_response {
                    None => return Err(PublishError::Write { source }),
                    Some(_) => break,
                },
            }
        }
        let revision = manifest.revision;
        let text = lost_response.map_or_else(String::new, |e| e.to_string());
        UnknownSnafu { revision, text }.fail()
    }

    /// Handles a failed condition on the version: it may be due to an earlier attempt of this edit
    /// that was applied although its response was lost.
    fn resolve_conflict<O: ObjectStore>(
        &self,
        objects: &O,
        bundle: &Bundle,
        lost_response: Option<StoreError>,
    ) -> Result<Accepted, PublishError> {
        let revision = bundle.manifest.revision;
        let unknown_outcome = |text: String| PublishError::Unknown { revision, text };
        let current = match Reader::default().read(objects) {
            Ok(current) => current,
            Err(source) if lost_response.is_none() => return Err(PublishError::Read { source }),
            Err(e) => return Err(unknown_outcome(e.to_string())),
        };
        let active_revision = current.as_ref().map_or(0, |c| c.revision);
        match current {
            Some(PublishedLists { revision, digest, .. }) if digest == bundle.manifest.digest => {
                Ok(accepted(revision, digest, lost_response.is_none()))
            }
            _ if lost_response.is_some() && active_revision > revision => Err(unknown_outcome(
                format!("revision {active_revision} has replaced it or was accepted first"),
            )),
            _ => ConflictSnafu { base_revision: self.base_revision, active_revision }.fail(),
        }
    }
}

fn accepted(revision: u64, digest: String, already_applied: bool) -> Accepted {
    Accepted { revision, digest, already_applied }
}

/// Retries a write whose response is lost. The write must be idempotent.
fn retry_lost_write(write: impl Fn() -> Result<u64, StoreError>) -> Result<u64, StoreError> {
    let mut written = write();
    for _ in 1..WRITE_ATTEMPTS {
        match &written {
            Err(e) if e.may_have_written() => written = write(),
            _ => break,
        }
    }
    written
}
