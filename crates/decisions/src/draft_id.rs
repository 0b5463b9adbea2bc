use super::*;

/// Id of a draft, such as `7-k3f9`: its base version and a random token.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct DraftId {
    /// Version in force when the draft was proposed, which it replaces if it is rolled out.
    pub base: BundleVersion,
    /// Token that distinguishes drafts with the same base version.
    pub token: ChangeToken,
}

impl fmt::Display for DraftId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.base, self.token)
    }
}

impl FromStr for DraftId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let (base, token) = s.split_once('-').ok_or(Error::DraftId)?;
        Ok(Self {
            base: base.parse().map_err(|_| Error::DraftId)?,
            token: token.parse().map_err(|_| Error::DraftId)?,
        })
    }
}

impl From<DraftId> for String {
    fn from(id: DraftId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for DraftId {
    type Error = Error;

    fn try_from(s: String) -> Result<Self, Error> {
        s.parse()
    }
}
