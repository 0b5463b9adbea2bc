/// Fault to inject into a mock engine, or the end of an earlier fault.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineFault {
    /// Kills the engine: its streams are interrupted and new connections are refused.
    Die,
    /// Reports that the engine is leaving and refuses new requests.
    Leave,
    /// Suspends all work, as a stopped process does.
    Pause,
    /// Ends [`Self::Pause`].
    Resume,
    /// Sends nothing more on streams that are open now; later ones are served.
    Silence,
    /// Ends [`Self::Leave`].
    Stay,
}
