use super::*;
use crate::{bundle_rows, bundle_watch::content_object_name};
use catkin_decisions::{
    BundleAuthor, BundleChange, BundleDraft, BundleKey, BundleRefusal, BundleRelease, BundleRow,
    ChangeResult, CurrentBundle, DraftId, Stored,
};
use std::num::NonZeroU32;

/// Settings of a [`BundleStore`].
#[derive(Clone, Copy, Debug)]
pub struct BundleStoreSettings {
    /// Maximum number of times that a call is sent.
    pub max_attempts: u32,
    /// Delay between two attempts of a call.
    pub retry_delay: Duration,
}

impl Default for BundleStoreSettings {
    /// Ten attempts of at most one second each, as an operator waits for the result.
    fn default() -> Self {
        Self {
            max_attempts: 10,
            retry_delay: Duration::from_millis(250),
        }
    }
}

/// Stores drafts and releases in the platform's table service and their content in its object
/// store.
pub struct BundleStore {
    platform: Arc<Platform>,
    cfg: BundleStoreSettings,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied<T> {
    /// The draft or version that the change created or changed.
    pub value: T,
    /// True if the table service's response was lost and reading the row back confirmed the change.
    pub confirmed_by_read: bool,
}

/// Maximum number of listed drafts that are based on one release.
const MAX_LISTED_DRAFTS: NonZeroU32 = NonZeroU32::new(100).expect("not zero");

impl BundleStore {
    /// Creates a store on a platform.
    #[must_use]
    pub fn new(platform: Arc<Platform>, cfg: BundleStoreSettings) -> Self {
        Self { platform, cfg }
    }

    /// Proposes a bundle based on the release in force.
    ///
    /// # Errors
    ///
    /// If the bundle is invalid or already in force, or the platform does not respond.
    pub async fn propose(&self, json: &str, author: BundleAuthor) -> Result<Applied<BundleDraft>> {
        let read = read_bundle(BundleVersion::default(), json)?;
        let digest = read.bundle.digest;
        let current = self.current().await?;
        let change = BundleChange::propose(current.as_ref(), digest, author)?;
        let body = Bytes::copy_from_slice(read.body.as_bytes());
        // The content is stored first, so that no draft refers to missing content.
        self.retry(|| (self.platform.put_object)((content_object_name(digest), body.clone())))
            .await?;
        let confirmed_by_read = self.apply(&change).await?;
        match change.writes.into_iter().next() {
            Some(BundleRow::Draft(value)) => Ok(Applied {
                value,
                confirmed_by_read,
            }),
            _ => Err(BundleRefusal::UnexpectedConflict.into()),
        }
    }

    /// Signs off a draft.
    ///
    /// # Errors
    ///
    /// If not permitted, if another operator was first, or if the platform does not respond.
    pub async fn sign_off(
        &self,
        id: &DraftId,
        digest: BundleDigest,
        author: BundleAuthor,
    ) -> Result<Applied<BundleDraft>> {
        let draft = self.draft(id).await?;
        let change = BundleChange::sign_off(&draft, digest, author)?;
        let confirmed_by_read = self.apply(&change).await?;
        let value = draft.value;
        Ok(Applied {
            value,
            confirmed_by_read,
        })
    }

    /// Rolls out a draft.
    ///
    /// # Errors
    ///
    /// If not permitted, if another operator was first, or if the platform does not respond.
    pub async fn roll_out(
        &self,
        id: &DraftId,
        author: BundleAuthor,
    ) -> Result<Applied<BundleVersion>> {
        let next = BundleKey::Release(id.base.next());
        let keys = [BundleKey::Draft(id.clone()), BundleKey::Current, next];
        let rows = self.read(&keys).await?;
        let draft = find_draft(&rows).ok_or_else(|| no_draft(id))?;
        let current = find_current(&rows);
        let next = find_release(&rows);
        let change = BundleChange::roll_out(&draft, current.as_ref(), next.as_ref(), author)?;
        self.apply_release(&change).await
    }

    /// Rolls out the content of an earlier release as a new version.
    ///
    /// # Errors
    ///
    /// If the version is absent or in force, another operator was first, or the platform is silent.
    pub async fn roll_back(
        &self,
        version: BundleVersion,
        author: BundleAuthor,
    ) -> Result<Applied<BundleVersion>> {
        let keys = [BundleKey::Current, BundleKey::Release(version)];
        let rows = self.read(&keys).await?;
        let earlier = find_release(&rows).ok_or(BundleRefusal::NoVersion { version })?;
        let current = find_current(&rows);
        let change = BundleChange::roll_back(&earlier, current.as_ref(), author)?;
        self.apply_release(&change).await
    }

    /// Reads the row that names the release in force; `None` before the first release.
    ///
    /// # Errors
    ///
    /// If the platform does not respond.
    pub async fn current(&self) -> Result<Option<Stored<CurrentBundle>>> {
        Ok(find_current(&self.read(&[BundleKey::Current]).await?))
    }

    /// Reads a draft with its row version.
    ///
    /// # Errors
    ///
    /// If there is no such draft, or the platform does not respond.
    pub async fn draft(&self, id: &DraftId) -> Result<Stored<BundleDraft>> {
        let rows = self.read(&[BundleKey::Draft(id.clone())]).await?;
        Ok(find_draft(&rows).ok_or_else(|| no_draft(id))?)
    }

    /// Reads the release of a version.
    ///
    /// # Errors
    ///
    /// If there is no such version, or the platform does not respond.
    pub async fn release(&self, version: BundleVersion) -> Result<BundleRelease> {
        let rows = self.read(&[BundleKey::Release(version)]).await?;
        Ok(find_release(&rows).ok_or(BundleRefusal::NoVersion { version })?)
    }

    /// Lists the drafts based on a release. They can be rolled out while that release is in force.
    ///
    /// # Errors
    ///
    /// If the platform does not respond.
    pub async fn drafts_over(&self, base: BundleVersion) -> Result<Vec<BundleDraft>> {
        let prefix = format!("draft/{base}-");
        let rows = self.scan(&prefix, None, MAX_LISTED_DRAFTS).await?;
        let drafts = rows.into_iter().filter_map(|(_, row)| match row {
            BundleRow::Draft(draft) => Some(draft),
            _ => None,
        });
        Ok(drafts.collect())
    }

    /// Lists the latest releases, at most `limit`, oldest first.
    ///
    /// # Errors
    ///
    /// If the platform does not respond.
    pub async fn history(&self, limit: NonZeroU32) -> Result<Vec<BundleRelease>> {
        let current = self.current().await?;
        let latest = current.map_or(0, |stored| stored.value.version.0);
        let before = BundleVersion(latest.saturating_sub(limit.get().into()));
        let after = BundleKey::Release(before);
        let rows = self.scan("release/", Some(&after), limit).await?;
        let releases = rows.into_iter().filter_map(|(_, row)| match row {
            BundleRow::Release(release) => Some(release),
            _ => None,
        });
        Ok(releases.collect())
    }

    /// Reads the bundle content that has a digest.
    ///
    /// # Errors
    ///
    /// If the content is missing or altered, or the platform does not respond.
    pub async fn content(&self, digest: BundleDigest) -> Result<Arc<str>> {
        let body = self
            .retry(|| (self.platform.get_object)(content_object_name(digest)))
            .await?
            .ok_or(Error::BundleContent { digest })?;
        Ok(read_canonical(BundleVersion::default(), digest, &body)?.body)
    }

    async fn apply_release(&self, change: &BundleChange) -> Result<Applied<BundleVersion>> {
        let confirmed_by_read = self.apply(change).await?;
        match change.confirmation_key() {
            BundleKey::Release(value) => Ok(Applied {
                value,
                confirmed_by_read,
            }),
            _ => Err(BundleRefusal::UnexpectedConflict.into()),
        }
    }

    /// Applies a change; returns whether its effect was confirmed by reading back.
    ///
    /// The same transaction is retried while its outcome is unknown. Its conditions allow it to
    /// take effect at most once, so a delayed earlier call is harmless.
    async fn apply(&self, change: &BundleChange) -> Result<bool> {
        let mut in_doubt = false;
        let mut last_error = PlatformError::NotRun;
        for attempt in 0..self.cfg.max_attempts {
            if attempt > 0 {
                tokio::time::sleep(self.cfg.retry_delay).await;
            }
            match (self.platform.transact)(bundle_rows::transaction(change)).await {
                Ok(reply) if reply.committed => return Ok(false),
                Ok(_) => {}
                Err(error) => {
                    in_doubt |= error == PlatformError::Unknown;
                    last_error = error;
                    if last_error != PlatformError::Unknown {
                        continue;
                    }
                }
            }
            match self.resolve_by_read(change).await {
                Ok(ChangeResult::Done) => return Ok(true),
                Ok(ChangeResult::Lost(refusal)) => return Err(refusal.into()),
                Ok(ChangeResult::Pending) => {}
                Err(Error::Platform(error)) => last_error = error,
                Err(error) => return Err(error),
            }
        }
        if in_doubt {
            return Err(Error::ChangeOutcomeUnknown { error: last_error });
        }
        Err(Error::NothingChanged { error: last_error })
    }

    async fn resolve_by_read(&self, change: &BundleChange) -> Result<ChangeResult> {
        let rows = bundle_rows::read_rows(&self.platform, &[change.confirmation_key()]).await?;
        Ok(change.resolve(rows.first().map(|(_, row)| row)))
    }

    async fn read(&self, keys: &[BundleKey]) -> Result<Vec<(u64, BundleRow)>> {
        self.retry(|| bundle_rows::read_rows(&self.platform, keys))
            .await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&BundleKey>,
        limit: NonZeroU32,
    ) -> Result<Vec<(u64, BundleRow)>> {
        self.retry(|| bundle_rows::scan_rows(&self.platform, prefix, after, limit))
            .await
    }

    /// Retries an idempotent call until the platform responds or the attempts are used up.
    async fn retry<T, E, F>(&self, call: impl Fn() -> F) -> Result<T>
    where
        E: Into<Error>,
        F: Future<Output = Result<T, E>>,
    {
        let mut attempts = 1;
        loop {
            match call().await.map_err(Into::into) {
                Err(Error::Platform(error)) if attempts >= self.cfg.max_attempts => {
                    return Err(Error::NothingChanged { error });
                }
                Err(Error::Platform(_)) => {
                    attempts += 1;
                    tokio::time::sleep(self.cfg.retry_delay).await;
                }
                other => return other,
            }
        }
    }
}

fn no_draft(id: &DraftId) -> BundleRefusal {
    BundleRefusal::NoDraft { draft: id.clone() }
}

fn find_draft(rows: &[(u64, BundleRow)]) -> Option<Stored<BundleDraft>> {
    rows.iter().find_map(|(row, value)| match value {
        BundleRow::Draft(draft) => Some(Stored {
            row_version: *row,
            value: draft.clone(),
        }),
        _ => None,
    })
}

fn find_current(rows: &[(u64, BundleRow)]) -> Option<Stored<CurrentBundle>> {
    rows.iter().find_map(|(row, value)| match value {
        BundleRow::Current(current) => Some(Stored {
            row_version: *row,
            value: current.clone(),
        }),
        _ => None,
    })
}

fn find_release(rows: &[(u64, BundleRow)]) -> Option<BundleRelease> {
    rows.iter().find_map(|(_, value)| match value {
        BundleRow::Release(release) => Some(release.clone()),
        _ => None,
    })
}
