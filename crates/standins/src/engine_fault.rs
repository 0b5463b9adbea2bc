/// How a stand-in engine fails, or ends failing.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineFault {
    /// It ends as a process that is killed.
    Die,
    /// It says that it is leaving, and refuses new work.
    Leave,
    /// It stops all work.
    Pause,
    /// It goes on after a pause.
    Resume,
    /// Its open connections go silent for good; new ones work.
    Silence,
    /// It takes back that it is leaving.
    Stay,
}
