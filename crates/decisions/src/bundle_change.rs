//! Transactions that propose, sign off, roll out and roll back a bundle.
//!
//! Operators race each other, and a call of the table service may take effect although its response
//! is lost. Each step is therefore one transaction whose conditions are the versions of the rows
//! that the decision was based on: of two racing operators one wins and the other changes nothing,
//! and a retried transaction takes effect at most once. Each step writes a random token into one
//! row; its author can read that row back at any later time to learn the result.

use super::*;

/// A transaction of the bundle store.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleChange {
    /// Required row versions; 0 means that the row must not exist.
    pub conditions: Vec<(BundleKey, u64)>,
    /// Rows that the transaction writes.
    pub writes: Vec<BundleRow>,
    confirmation_row: ConfirmationRow,
    change: ChangeToken,
}

/// Row that shows whether a change took effect.
#[derive(Clone, Debug, PartialEq)]
enum ConfirmationRow {
    Proposal(DraftId),
    SignOff(DraftId),
    Release(BundleVersion),
}

/// Result of a change whose response was lost or reports a failed condition.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// The change took effect.
    Done,
    /// The change can never take effect, because another operator's change was first.
    Lost(BundleRefusal),
    /// The change has not taken effect; retrying it is safe.
    Pending,
}

impl BundleChange {
    /// Proposes new content to replace the release in force.
    ///
    /// # Errors
    ///
    /// Fails if that content is already in force.
    pub fn propose(
        current: Option<&Stored<CurrentBundle>>,
        digest: BundleDigest,
        author: BundleAuthor,
    ) -> Result<Self, BundleRefusal> {
        check_new_content(current, digest)?;
        let id = DraftId {
            base: version_of(current),
            token: author.change.clone(),
        };
        let change = author.change.clone();
        Ok(Self {
            conditions: vec![(BundleKey::Draft(id.clone()), 0)],
            writes: vec![BundleRow::Draft(BundleDraft {
                id: id.clone(),
                digest,
                proposed: author,
                signed_off: None,
            })],
            confirmation_row: ConfirmationRow::Proposal(id),
            change,
        })
    }

    /// Signs off a draft for the operator `author`, who reviewed content with the digest `digest`.
    ///
    /// # Errors
    ///
    /// Fails if `author` proposed it, if it is signed off already, or if its digest is not `digest`.
    pub fn sign_off(
        draft: &Stored<BundleDraft>,
        digest: BundleDigest,
        author: BundleAuthor,
    ) -> Result<Self, BundleRefusal> {
        let BundleDraft { id, proposed, .. } = &draft.value;
        if proposed.operator == author.operator {
            return Err(BundleRefusal::SelfSignOff {
                draft: id.clone(),
                operator: author.operator,
            });
        }
        if let Some(signed_off) = &draft.value.signed_off {
            return Err(already_signed_off(id, signed_off));
        }
        check_digest(&draft.value, digest)?;
        let change = author.change.clone();
        Ok(Self {
            conditions: vec![(BundleKey::Draft(id.clone()), draft.row_version)],
            writes: vec![BundleRow::Draft(BundleDraft {
                signed_off: Some(SignOff { author, digest }),
                ..draft.value.clone()
            })],
            confirmation_row: ConfirmationRow::SignOff(id.clone()),
            change,
        })
    }

    /// Rolls out a draft to replace its base release. `next` is the release after the base, if any.
    ///
    /// # Errors
    /// Fails if the draft is not signed off, or if a release followed its proposal: its author could
    /// not have seen that release, and the rollout would undo it unnoticed.
    pub fn roll_out(
        draft: &Stored<BundleDraft>,
        current: Option<&Stored<CurrentBundle>>,
        next: Option<&BundleRelease>,
        author: BundleAuthor,
    ) -> Result<Self, BundleRefusal> {
        let BundleDraft { id, proposed, .. } = &draft.value;
        if let Some(next) = next {
            return Err(superseded_by(next, Some(id)));
        }
        check_base(id, current)?;
        let signed_off = draft.value.signed_off.as_ref();
        let signed_off = signed_off.ok_or(BundleRefusal::NotSignedOff { draft: id.clone() })?;
        check_digest(&draft.value, signed_off.digest)?;
        let source = ReleaseSource::Draft {
            draft: id.clone(),
            proposed_by: proposed.operator.clone(),
            signed_off_by: signed_off.author.operator.clone(),
        };
        let mut change = Self::release(current, draft.value.digest, source, author)?;
        let draft_unchanged = (BundleKey::Draft(id.clone()), draft.row_version);
        change.conditions.push(draft_unchanged);
        Ok(change)
    }

    /// Rolls out the content of an earlier release as a new version.
    ///
    /// # Errors
    ///
    /// Fails if that content is already in force.
    pub fn roll_back(
        earlier: &BundleRelease,
        current: Option<&Stored<CurrentBundle>>,
        author: BundleAuthor,
    ) -> Result<Self, BundleRefusal> {
        let source = ReleaseSource::RollBack {
            version: earlier.version,
        };
        Self::release(current, earlier.digest, source, author)
    }

    fn release(
        current: Option<&Stored<CurrentBundle>>,
        digest: BundleDigest,
        source: ReleaseSource,
        author: BundleAuthor,
    ) -> Result<Self, BundleRefusal> {
        check_new_content(current, digest)?;
        let version = version_of(current).next();
        let change = author.change.clone();
        Ok(Self {
            conditions: vec![
                (
                    BundleKey::Current,
                    current.map_or(0, |stored| stored.row_version),
                ),
                (BundleKey::Release(version), 0),
            ],
            writes: vec![
                BundleRow::Current(CurrentBundle {
                    version,
                    digest,
                    by: author.operator.clone(),
                }),
                BundleRow::Release(BundleRelease {
                    version,
                    digest,
                    source,
                    released: author,
                }),
            ],
            confirmation_row: ConfirmationRow::Release(version),
            change,
        })
    }

    /// Key of the row that shows whether the change took effect.
    #[must_use]
    pub fn confirmation_key(&self) -> BundleKey {
        match &self.confirmation_row {
            ConfirmationRow::Proposal(id) | ConfirmationRow::SignOff(id) => {
                BundleKey::Draft(id.clone())
            }
            ConfirmationRow::Release(version) => BundleKey::Release(*version),
        }
    }

    /// Determines the change's result from the current value of the row at [`Self::confirmation_key`].
    #[must_use]
    pub fn resolve(&self, row: Option<&BundleRow>) -> ChangeResult {
        match (&self.confirmation_row, row) {
            (ConfirmationRow::Proposal(_), Some(BundleRow::Draft(draft))) => {
                self.resolve_by_author(&draft.proposed, || BundleRefusal::UnexpectedConflict)
            }
            (ConfirmationRow::SignOff(id), Some(BundleRow::Draft(draft))) => {
                match &draft.signed_off {
                    Some(sign_off) => self
                        .resolve_by_author(&sign_off.author, || already_signed_off(id, sign_off)),
                    None => ChangeResult::Pending,
                }
            }
            (ConfirmationRow::Release(_), Some(BundleRow::Release(release))) => {
                self.resolve_by_author(&release.released, || superseded_by(release, None))
            }
            _ => ChangeResult::Pending,
        }
    }

    fn resolve_by_author(
        &self,
        author: &BundleAuthor,
        lost: impl FnOnce() -> BundleRefusal,
    ) -> ChangeResult {
        if author.change == self.change {
            ChangeResult::Done
        } else {
            ChangeResult::Lost(lost())
        }
    }
}

/// Checks that the draft's base is still in force. The rows may have been read while another operator
/// wrote them, so the base may have been replaced although no later release was read.
fn check_base(
    draft: &DraftId,
    current: Option<&Stored<CurrentBundle>>,
) -> Result<(), BundleRefusal> {
    match current {
        Some(Stored { value, .. }) if value.version != draft.base => {
            Err(BundleRefusal::Superseded {
                by: value.by.clone(),
                version: value.version,
            })
        }
        None if draft.base != BundleVersion::default() => Err(BundleRefusal::NoVersion {
            version: draft.base,
        }),
        _ => Ok(()),
    }
}

fn version_of(current: Option<&Stored<CurrentBundle>>) -> BundleVersion {
    current.map_or(BundleVersion::default(), |stored| stored.value.version)
}

fn check_new_content(
    current: Option<&Stored<CurrentBundle>>,
    digest: BundleDigest,
) -> Result<(), BundleRefusal> {
    match current {
        Some(current) if current.value.digest == digest => Err(BundleRefusal::AlreadyInForce {
            version: current.value.version,
        }),
        _ => Ok(()),
    }
}

fn check_digest(draft: &BundleDraft, expected: BundleDigest) -> Result<(), BundleRefusal> {
    if draft.digest == expected {
        return Ok(());
    }
    Err(BundleRefusal::DigestMismatch {
        draft: draft.id.clone(),
        expected,
        found: draft.digest,
    })
}

fn already_signed_off(draft: &DraftId, sign_off: &SignOff) -> BundleRefusal {
    BundleRefusal::AlreadySignedOff {
        draft: draft.clone(),
        by: sign_off.author.operator.clone(),
    }
}

fn superseded_by(release: &BundleRelease, draft: Option<&DraftId>) -> BundleRefusal {
    let by = release.released.operator.clone();
    let version = release.version;
    match (&release.source, draft) {
        (ReleaseSource::Draft { draft: found, .. }, Some(draft)) if found == draft => {
            BundleRefusal::Released {
                draft: draft.clone(),
                version,
                by,
            }
        }
        _ => BundleRefusal::Superseded { by, version },
    }
}
