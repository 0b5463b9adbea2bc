use super::*;
use crate::{
    bundle_diff::bundle_diff,
    ctl_settings::{BundleReference, CtlCommand, CtlSettings},
    ctl_time::utc_seconds,
};
use catkin_decisions::{
    BundleAuthor, BundleDraft, BundleRelease, ChangeToken, DraftId, ReleaseSource,
};
use std::{fmt::Write, num::NonZeroU32, path::Path};

/// Number of releases that `bundle history` shows.
const HISTORY_LENGTH: NonZeroU32 = NonZeroU32::new(20).expect("not zero");

const CONFIRMED_NOTICE: &str =
    "the platform's response was lost; reading back confirms that the change took effect\n";

/// Runs the `bundle` commands and formats their results for the operator.
pub(crate) struct CtlBundle<'a> {
    store: BundleStore,
    settings: &'a CtlSettings,
}

impl<'a> CtlBundle<'a> {
    pub(crate) fn new(platform: Arc<Platform>, settings: &'a CtlSettings) -> Self {
        Self {
            store: BundleStore::new(platform, BundleStoreSettings::default()),
            settings,
        }
    }

    /// Validates a bundle file without access to the platform.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field.
    pub(crate) fn check(file: &Path) -> Result<String> {
        let read = read_bundle(BundleVersion::default(), &read_file(file)?)?;
        let bundle = read.bundle;
        Ok(format!(
            "the bundle is valid: teams {}, services {}, upstreams {}\ndigest {}\n",
            bundle.teams.len(),
            bundle.services.len(),
            bundle.upstreams.len(),
            bundle.digest,
        ))
    }

    /// Runs one `bundle` command.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is refused or the platform does not respond.
    pub(crate) async fn run(&self, command: CtlCommand) -> Result<String> {
        match command {
            CtlCommand::Propose(file) => self.propose(&file).await,
            CtlCommand::SignOff(draft) => self.sign_off(&draft).await,
            CtlCommand::RollOut(draft) => self.roll_out(&draft).await,
            CtlCommand::RollBack(version) => self.roll_back(version).await,
            CtlCommand::Diff(a, b) => self.diff(&a, &b).await,
            CtlCommand::History => self.history().await,
            _ => self.status().await,
        }
    }

    async fn propose(&self, file: &Path) -> Result<String> {
        let json = read_file(file)?;
        let applied = self.store.propose(&json, self.author()?).await?;
        let BundleDraft { id, digest, .. } = &applied.value;
        Ok(format!(
            "{}draft {id} based on version {}, digest {digest}\n\
             another operator signs it off with `catkinctl bundle sign-off {id}`\n",
            confirmation_notice(applied.confirmed_by_read),
            id.base,
        ))
    }

    /// Signs off a draft by its digest. The content is fetched and verified against that digest first,
    /// so the operator signs off exactly the changes that are shown.
    async fn sign_off(&self, id: &DraftId) -> Result<String> {
        let author = self.author()?;
        let operator = author.operator.clone();
        let digest = self.store.draft(id).await?.value.digest;
        let content = self.store.content(digest).await?;
        let changes = self.changes(id.base, &content).await?;
        let applied = self.store.sign_off(id, digest, author).await?;
        Ok(format!(
            "{}{changes}draft {id} is signed off by {operator}, digest {digest}\n\
             it is rolled out with `catkinctl bundle roll-out {id}`\n",
            confirmation_notice(applied.confirmed_by_read),
        ))
    }

    async fn roll_out(&self, id: &DraftId) -> Result<String> {
        let applied = self.store.roll_out(id, self.author()?).await?;
        Ok(format!(
            "{}version {} is rolled out\n",
            confirmation_notice(applied.confirmed_by_read),
            applied.value,
        ))
    }

    async fn roll_back(&self, version: BundleVersion) -> Result<String> {
        let applied = self.store.roll_back(version, self.author()?).await?;
        Ok(format!(
            "{}version {} is rolled out, with the content of version {version}\n",
            confirmation_notice(applied.confirmed_by_read),
            applied.value,
        ))
    }

    async fn diff(&self, a: &BundleReference, b: &BundleReference) -> Result<String> {
        let (a, b) = (self.content(a).await?, self.content(b).await?);
        Ok(match bundle_diff(&a, &b) {
            changes if changes.is_empty() => "the contents are identical\n".to_owned(),
            changes => changes,
        })
    }

    async fn status(&self) -> Result<String> {
        let Some(current) = self.store.current().await? else {
            return Ok("no bundle has been rolled out\n".to_owned() + &self.drafts(0).await?);
        };
        let release = self.store.release(current.value.version).await?;
        let mut text = format!("in force: {}\n", describe(&release));
        text.push_str(&self.drafts(release.version.0).await?);
        Ok(text)
    }

    async fn drafts(&self, base: u64) -> Result<String> {
        let drafts = self.store.drafts_over(BundleVersion(base)).await?;
        if drafts.is_empty() {
            return Ok("no drafts\n".to_owned());
        }
        let mut text = String::new();
        for draft in &drafts {
            let signed_off = match &draft.signed_off {
                Some(sign_off) => format!("signed off by {}", sign_off.author.operator),
                None => "not signed off".to_owned(),
            };
            let proposer = &draft.proposed.operator;
            let _ = writeln!(
                text,
                "draft {}: proposed by {proposer}, {signed_off}",
                draft.id
            );
        }
        Ok(text)
    }

    async fn history(&self) -> Result<String> {
        let releases = self.store.history(HISTORY_LENGTH).await?;
        let lines = releases
            .iter()
            .map(|release| describe(release) + "\n")
            .collect::<String>();
        if lines.is_empty() {
            return Ok("no bundle has been rolled out\n".to_owned());
        }
        Ok(lines)
    }

    async fn content(&self, reference: &BundleReference) -> Result<Arc<str>> {
        match reference {
            BundleReference::File(file) => {
                let read = read_bundle(BundleVersion::default(), &read_file(file)?)?;
                Ok(read.body)
            }
            BundleReference::Draft(id) => {
                let draft = self.store.draft(id).await?;
                self.store.content(draft.value.digest).await
            }
            BundleReference::Version(version) => {
                let release = self.store.release(*version).await?;
                self.store.content(release.digest).await
            }
        }
    }

    /// Describes how `content` differs from release `base`. Empty if there is no earlier release, since
    /// everything would differ.
    async fn changes(&self, base: BundleVersion, content: &str) -> Result<String> {
        if base == BundleVersion::default() {
            return Ok(String::new());
        }
        let base = self.content(&BundleReference::Version(base)).await?;
        Ok(bundle_diff(&base, content))
    }

    fn author(&self) -> Result<BundleAuthor> {
        Ok(BundleAuthor {
            operator: self.settings.operator()?,
            change: new_token(),
            at: process_clock::wall().as_secs(),
        })
    }
}

fn new_token() -> ChangeToken {
    format!("{:08x}", rand::random::<u32>())
        .parse()
        .expect("hexadecimal digits are visible ASCII")
}

fn confirmation_notice(confirmed_by_read: bool) -> &'static str {
    if confirmed_by_read {
        CONFIRMED_NOTICE
    } else {
        ""
    }
}

fn describe(release: &BundleRelease) -> String {
    let source = match &release.source {
        ReleaseSource::Draft {
            draft,
            proposed_by,
            signed_off_by,
        } => format!("draft {draft} of {proposed_by}, signed off by {signed_off_by}"),
        ReleaseSource::RollBack { version } => format!("content of version {version}"),
    };
    format!(
        "version {}, rolled out by {} at {}: {source}; digest {}",
        release.version,
        release.released.operator,
        utc_seconds(release.released.at),
        release.digest,
    )
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}
