use super::*;

/// Position in a generation at which a reconnecting caller resumes: the index of its next token, and
/// the chain and VM that delivered the tokens before it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// Index of the next token for the caller.
    pub next: TokenIndex,
    /// VM and chain that delivered the earlier tokens; `None` if the caller has no tokens.
    pub origin: Option<(VmId, ChainId)>,
}

impl ResumePoint {
    /// Formats the id of an event as `index@chain.vm`. A reconnecting caller sends it back as
    /// `Last-Event-ID`.
    #[must_use]
    pub fn event_id(index: TokenIndex, chain: ChainId, vm: &VmId) -> String {
        format!("{index}@{chain}.{vm}")
    }
}

impl FromStr for ResumePoint {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let parts = s.split_once('@').and_then(|(index, rest)| {
            let (chain, vm) = rest.split_once('.')?;
            Some((index, chain, vm))
        });
        let (index, chain, vm) = parts.ok_or(Error::EventId)?;
        Ok(Self {
            next: index.parse::<TokenIndex>()?.next(),
            origin: Some((vm.parse()?, chain.parse()?)),
        })
    }
}
