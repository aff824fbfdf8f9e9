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
    /// settings were read again
    Reloaded = 105,
    /// configuration adopted
    ConfigAdopted = 200,
    /// object API does not answer
    StoreLost = 201,
    /// object API answers again
    StoreBack = 202,
    /// process is isolated and refuses new work
    Isolated = 203,
    /// a configuration can not be read and is set aside
    ConfigRefused = 204,
    /// the zones that get no work changed
    ZonesEvacuated = 205,
    /// a version of a model was named
    VersionNamed = 206,
    /// control connection lost
    PeerLost = 300,
    /// control connection is up
    PeerBack = 301,
    /// request refused
    RequestRefused = 400,
    /// attempt failed
    AttemptFailed = 401,
    /// attempt was answered
    AttemptAnswered = 402,
    /// an answer ended before it was whole
    StreamCut = 403,
    /// log lines were left out to bound the volume
    LinesLeftOut = 404,
    /// the first event of an answer was passed on
    StreamStarted = 405,
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
    /// the list of endpoints changed
    EndpointListed = 505,
    /// an entry of the list of endpoints can not be read and is set aside
    EntrySetAside = 506,
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
    /// the engine was told to serve a version
    VersionOrdered = 605,
    /// the engine did not take an order
    OrderFailed = 606,
    /// staged chunks were missing or spoilt and are put again
    StagedSpoilt = 607,
    /// a version is on its way
    VersionProgress = 608,
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
            Self::Reloaded => log::Level::Info,
            Self::ConfigAdopted => log::Level::Info,
            Self::StoreLost => log::Level::Warn,
            Self::StoreBack => log::Level::Info,
            Self::Isolated => log::Level::Error,
            Self::ConfigRefused => log::Level::Error,
            Self::ZonesEvacuated => log::Level::Info,
            Self::VersionNamed => log::Level::Info,
            Self::PeerLost => log::Level::Warn,
            Self::PeerBack => log::Level::Info,
            Self::RequestRefused => log::Level::Info,
            Self::AttemptFailed => log::Level::Warn,
            Self::AttemptAnswered => log::Level::Info,
            Self::StreamCut => log::Level::Warn,
            Self::LinesLeftOut => log::Level::Warn,
            Self::StreamStarted => log::Level::Info,
            Self::EndpointState => log::Level::Info,
            Self::EndpointRestarted => log::Level::Warn,
            Self::RequestSuspected => log::Level::Warn,
            Self::RequestQuarantined => log::Level::Error,
            Self::DuplicateAttempt => log::Level::Warn,
            Self::EndpointListed => log::Level::Info,
            Self::EntrySetAside => log::Level::Warn,
            Self::VersionReady => log::Level::Info,
            Self::ChunkCorrupt => log::Level::Warn,
            Self::NoRoomForVersion => log::Level::Error,
            Self::ManifestMismatch => log::Level::Error,
            Self::StagingFailed => log::Level::Warn,
            Self::VersionOrdered => log::Level::Info,
            Self::OrderFailed => log::Level::Warn,
            Self::StagedSpoilt => log::Level::Warn,
            Self::VersionProgress => log::Level::Info,
        }
    }
}
