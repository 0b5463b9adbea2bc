/// What the fault-injecting proxy does on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ProxyFault {
    /// Passes everything on.
    #[default]
    Pass,
    /// Accepts new connections and reads nothing from them; open ones go silent for as long.
    BlackHole,
    /// Passes nothing from the caller to the upstream, as a partition in one direction.
    CutUp,
    /// Passes nothing from the upstream to the caller.
    CutDown,
    /// Passes everything on later.
    Delay,
    /// Closes the upstream's side of open connections, and leaves the caller's side open.
    HalfOpen,
    /// Passes requests on, and resets the connection at the first byte of an answer.
    LoseAnswers,
    /// Resets new connections.
    Refuse,
    /// Resets open connections once; new ones work.
    Reset,
    /// Makes open connections silent for good; new ones work.
    Silence,
}
