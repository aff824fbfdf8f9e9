// Generated from schema/ by `cargo run -p limpetloom-codegen`; edits are lost.
/// Numbered log event; the catalogue is in `docs/EVENTS.md`.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
#[repr(u16)]
pub enum Event {
    /// process started
    Started = 100,
    /// process is draining
    Stopping = 101,
    /// process ended
    Stopped = 102,
    /// settings were refused
    SettingsRefused = 103,
    /// process was cut while requests ran
    Cut = 104,
    /// configuration adopted
    ConfigAdopted = 200,
    /// object API does not answer
    StoreLost = 201,
    /// object API answers again
    StoreBack = 202,
    /// process is isolated and refuses new work
    Isolated = 203,
    /// control connection lost
    PeerLost = 300,
    /// control connection is up
    PeerBack = 301,
    /// request refused
    RequestRefused = 400,
    /// attempt failed
    AttemptFailed = 401,
    /// endpoint changed state
    EndpointState = 500,
    /// endpoint restarted
    EndpointRestarted = 501,
    /// request was in flight when an endpoint crashed
    RequestSuspected = 502,
    /// request is quarantined after a second crash
    RequestQuarantined = 503,
    /// attempt was offered twice
    DuplicateAttempt = 504,
    /// version is ready
    VersionReady = 600,
    /// chunk failed verification
    ChunkCorrupt = 601,
    /// version does not fit into the memory for chunks
    NoRoomForVersion = 602,
    /// manifest does not have the digest that the targets name
    ManifestMismatch = 603,
    /// engine did not take the version's bytes
    StagingFailed = 604,
}
impl Event {
    /// Level at which the event is logged.
    pub fn level(self) -> log::Level {
        match self {
            Self::Started => log::Level::Info,
            Self::Stopping => log::Level::Info,
            Self::Stopped => log::Level::Info,
            Self::SettingsRefused => log::Level::Error,
            Self::Cut => log::Level::Warn,
            Self::ConfigAdopted => log::Level::Info,
            Self::StoreLost => log::Level::Warn,
            Self::StoreBack => log::Level::Info,
            Self::Isolated => log::Level::Error,
            Self::PeerLost => log::Level::Warn,
            Self::PeerBack => log::Level::Info,
            Self::RequestRefused => log::Level::Info,
            Self::AttemptFailed => log::Level::Warn,
            Self::EndpointState => log::Level::Info,
            Self::EndpointRestarted => log::Level::Warn,
            Self::RequestSuspected => log::Level::Warn,
            Self::RequestQuarantined => log::Level::Error,
            Self::DuplicateAttempt => log::Level::Warn,
            Self::VersionReady => log::Level::Info,
            Self::ChunkCorrupt => log::Level::Warn,
            Self::NoRoomForVersion => log::Level::Error,
            Self::ManifestMismatch => log::Level::Error,
            Self::StagingFailed => log::Level::Warn,
        }
    }
}
