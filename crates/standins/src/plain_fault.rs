/// How a stand-in plain service fails, from the next request on.
#[derive(Clone, Copy, Debug, Default, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PlainFault {
    /// It serves.
    #[default]
    None,
    /// It runs a request, and its answer breaks off.
    BreakOff,
    /// It runs a request and never answers.
    LoseAnswer,
    /// It refuses a request and runs nothing.
    Refuse,
    /// Its service time is ten times as long.
    Slow,
    /// It says that it is leaving, and refuses.
    Leave,
}
