/// Fault of a mock plain service, effective from the next request on.
#[derive(Clone, Copy, Debug, Default, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PlainFault {
    /// No fault: requests are served.
    #[default]
    None,
    /// Runs the request and truncates the response.
    BreakOff,
    /// Runs the request and never responds.
    LoseAnswer,
    /// Refuses the request without running it.
    Refuse,
    /// Multiplies the service time by ten.
    Slow,
    /// Reports that the service is leaving and refuses requests.
    Leave,
}
