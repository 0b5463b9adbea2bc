use super::*;

/// How far a returning caller has come: the index of the token that it lacks, and the chain of
/// those that it has with the VM that delivered them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// The token that is due.
    pub next: TokenIndex,
    /// Where the ones before came from; `None` for a caller who has none.
    pub from: Option<(VmId, ChainId)>,
}

impl ResumePoint {
    /// The id of an event, which its caller sends back as `Last-Event-ID`: the index, and behind
    /// `@` the chain and the VM.
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
            from: Some((vm.parse()?, chain.parse()?)),
        })
    }
}
