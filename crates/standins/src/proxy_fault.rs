/// Fault of a route of the fault-injecting proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ProxyFault {
    /// No fault: forwards everything.
    #[default]
    Pass,
    /// Until the fault is changed, accepts new connections without reading from them and forwards
    /// nothing on open ones.
    BlackHole,
    /// Forwards nothing from the caller to the upstream, as in a one-way partition.
    CutUp,
    /// Forwards nothing from the upstream to the caller.
    CutDown,
    /// Forwards everything after a delay.
    Delay,
    /// Resets the upstream side of open connections and leaves the caller side open.
    HalfOpen,
    /// Forwards requests and resets the connection at the first byte of a response.
    LoseAnswers,
    /// Resets new connections.
    Refuse,
    /// Resets the connections that are open now; later ones are served.
    Reset,
    /// Forwards nothing more on connections that are open now; later ones are served.
    Silence,
}
