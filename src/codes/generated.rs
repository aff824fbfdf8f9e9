// Generated from schema/ by `cargo run -p limpetloom-codegen`; edits are lost.
use super::RunState;
/// Numbered result of an operation; the table is in `docs/CODES.md`.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(u16)]
pub enum Code {
    /// the request can not be parsed
    Malformed = 1001,
    /// the request is larger than the limit
    TooLarge = 1002,
    /// no such class of work
    UnknownClass = 1003,
    /// no such customer
    UnknownCustomer = 1004,
    /// the class needs an idempotency key and the request has none
    KeyMissing = 1005,
    /// the idempotency key was used with another body
    KeyReused = 1006,
    /// the request body did not arrive in time
    CallerTooSlow = 1007,
    /// no such model or service
    UnknownTarget = 1008,
    /// the idempotency key is older than the horizon within which keys are kept
    KeyExpired = 1009,
    /// no route matches the host name and path
    UnknownRoute = 1010,
    /// the key is missing, or no customer holds it
    KeyNotHeld = 1011,
    /// the target for the first token can no longer be met
    DeadlineUnreachable = 2001,
    /// the queue of the class is full
    QueueFull = 2002,
    /// the customer is over its share
    OverShare = 2003,
    /// no endpoint is ready for this work
    NoEndpoint = 2004,
    /// the availability zone is out
    ZoneOut = 2005,
    /// the sender's configuration is older than the receiver's
    StaleConfiguration = 2006,
    /// no configuration is known yet
    NoConfiguration = 2007,
    /// the process is out of touch with the side that accepts configurations
    Isolated = 2008,
    /// the object API does not answer and keyed work needs it
    StoreUnavailable = 2009,
    /// this request has crashed endpoints and is not run again
    Quarantined = 2010,
    /// the retry budget is spent
    RetriesSpent = 2011,
    /// the attempt names another instance of the agent
    WrongInstance = 2012,
    /// the endpoint does not hold the version that the attempt names
    WrongVersion = 2013,
    /// the power share of the endpoint is in use
    PowerLimit = 2014,
    /// the process is stopping
    Stopping = 2015,
    /// the attempt was fenced before it arrived
    Fenced = 2016,
    /// the endpoint holds as much work as it bears
    EndpointFull = 2017,
    /// the endpoint is leaving
    EndpointLeaving = 2018,
    /// every endpoint for this work has named a limit that is used up
    LimitReached = 2019,
    /// every endpoint for this work has asked for rest or leaves
    NoneAccepts = 2020,
    /// the process has no processor time for the request
    Overloaded = 2021,
    /// the process can not tell whether its state is the newest
    StateOutdated = 2022,
    /// the bodies of other requests take the memory that the body needs
    BodyMemoryShort = 2023,
    /// the body of the request stalled while others waited for a connection
    BodyStalled = 2024,
    /// the request may have run and its outcome is not known
    OutcomeUnknown = 3001,
    /// a request with this key is running
    StillRunning = 3002,
    /// the answer ended before its end mark
    AnswerBroken = 3003,
    /// the answer did not arrive in time
    AnswerTimeout = 3004,
    /// endpoints crashed while they ran the request
    RequestHarmful = 3005,
    /// the file cannot be read
    FileUnreadable = 4001,
    /// the line is not valid INI
    SyntaxError = 4002,
    /// the file type defines no such section
    UnknownSection = 4003,
    /// the section defines no such key
    UnknownKey = 4004,
    /// the unit of the value is missing or wrong
    WrongUnit = 4005,
    /// the value is out of range
    OutOfRange = 4006,
    /// the section or key appears twice
    Duplicate = 4007,
    /// a required section or key is missing
    Missing = 4008,
    /// the value does not have the expected form
    BadValue = 4009,
    /// the value refers to a name that the file does not declare
    BadReference = 4010,
    /// another operator's change was accepted first
    RaceLost = 4011,
    /// the weight store has no such version of the model
    VersionUnknown = 4012,
    /// it is not yet known whether the change was accepted
    WriteUnsettled = 4013,
    /// the change is accepted but not yet in force everywhere
    NotInForce = 4014,
    /// the object API does not answer
    ObjectApiDown = 5001,
    /// the weight store does not answer
    WeightStoreDown = 5002,
    /// the host list does not answer
    HostListDown = 5003,
    /// the process does not answer at its control address
    ProcessUnreachable = 5004,
    /// the process cannot be started
    NotStarted = 5010,
    /// the control token is missing or wrong
    AccessDenied = 8001,
    /// too many control calls
    RateLimited = 8002,
}
impl Code {
    /// All codes in ascending order of their numbers.
    pub const ALL: &[Self] = &[
        Self::Malformed,
        Self::TooLarge,
        Self::UnknownClass,
        Self::UnknownCustomer,
        Self::KeyMissing,
        Self::KeyReused,
        Self::CallerTooSlow,
        Self::UnknownTarget,
        Self::KeyExpired,
        Self::UnknownRoute,
        Self::KeyNotHeld,
        Self::DeadlineUnreachable,
        Self::QueueFull,
        Self::OverShare,
        Self::NoEndpoint,
        Self::ZoneOut,
        Self::StaleConfiguration,
        Self::NoConfiguration,
        Self::Isolated,
        Self::StoreUnavailable,
        Self::Quarantined,
        Self::RetriesSpent,
        Self::WrongInstance,
        Self::WrongVersion,
        Self::PowerLimit,
        Self::Stopping,
        Self::Fenced,
        Self::EndpointFull,
        Self::EndpointLeaving,
        Self::LimitReached,
        Self::NoneAccepts,
        Self::Overloaded,
        Self::StateOutdated,
        Self::BodyMemoryShort,
        Self::BodyStalled,
        Self::OutcomeUnknown,
        Self::StillRunning,
        Self::AnswerBroken,
        Self::AnswerTimeout,
        Self::RequestHarmful,
        Self::FileUnreadable,
        Self::SyntaxError,
        Self::UnknownSection,
        Self::UnknownKey,
        Self::WrongUnit,
        Self::OutOfRange,
        Self::Duplicate,
        Self::Missing,
        Self::BadValue,
        Self::BadReference,
        Self::RaceLost,
        Self::VersionUnknown,
        Self::WriteUnsettled,
        Self::NotInForce,
        Self::ObjectApiDown,
        Self::WeightStoreDown,
        Self::HostListDown,
        Self::ProcessUnreachable,
        Self::NotStarted,
        Self::AccessDenied,
        Self::RateLimited,
    ];
    /// HTTP status of a response with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::UnknownClass => 400,
            Self::UnknownCustomer => 403,
            Self::KeyMissing => 400,
            Self::KeyReused => 422,
            Self::CallerTooSlow => 408,
            Self::UnknownTarget => 404,
            Self::KeyExpired => 422,
            Self::UnknownRoute => 404,
            Self::KeyNotHeld => 401,
            Self::DeadlineUnreachable => 503,
            Self::QueueFull => 503,
            Self::OverShare => 429,
            Self::NoEndpoint => 503,
            Self::ZoneOut => 503,
            Self::StaleConfiguration => 409,
            Self::NoConfiguration => 503,
            Self::Isolated => 503,
            Self::StoreUnavailable => 503,
            Self::Quarantined => 422,
            Self::RetriesSpent => 503,
            Self::WrongInstance => 409,
            Self::WrongVersion => 409,
            Self::PowerLimit => 503,
            Self::Stopping => 503,
            Self::Fenced => 409,
            Self::EndpointFull => 503,
            Self::EndpointLeaving => 503,
            Self::LimitReached => 503,
            Self::NoneAccepts => 503,
            Self::Overloaded => 503,
            Self::StateOutdated => 503,
            Self::BodyMemoryShort => 503,
            Self::BodyStalled => 503,
            Self::OutcomeUnknown => 502,
            Self::StillRunning => 409,
            Self::AnswerBroken => 502,
            Self::AnswerTimeout => 504,
            Self::RequestHarmful => 422,
            Self::FileUnreadable => 400,
            Self::SyntaxError => 400,
            Self::UnknownSection => 400,
            Self::UnknownKey => 400,
            Self::WrongUnit => 400,
            Self::OutOfRange => 400,
            Self::Duplicate => 400,
            Self::Missing => 400,
            Self::BadValue => 400,
            Self::BadReference => 400,
            Self::RaceLost => 409,
            Self::VersionUnknown => 404,
            Self::WriteUnsettled => 504,
            Self::NotInForce => 504,
            Self::ObjectApiDown => 503,
            Self::WeightStoreDown => 503,
            Self::HostListDown => 503,
            Self::ProcessUnreachable => 503,
            Self::NotStarted => 503,
            Self::AccessDenied => 403,
            Self::RateLimited => 429,
        }
    }
    /// Whether the request has run.
    pub fn run_state(self) -> RunState {
        match self {
            Self::Malformed => RunState::NotRun,
            Self::TooLarge => RunState::NotRun,
            Self::UnknownClass => RunState::NotRun,
            Self::UnknownCustomer => RunState::NotRun,
            Self::KeyMissing => RunState::NotRun,
            Self::KeyReused => RunState::NotRun,
            Self::CallerTooSlow => RunState::NotRun,
            Self::UnknownTarget => RunState::NotRun,
            Self::KeyExpired => RunState::NotRun,
            Self::UnknownRoute => RunState::NotRun,
            Self::KeyNotHeld => RunState::NotRun,
            Self::DeadlineUnreachable => RunState::NotRun,
            Self::QueueFull => RunState::NotRun,
            Self::OverShare => RunState::NotRun,
            Self::NoEndpoint => RunState::NotRun,
            Self::ZoneOut => RunState::NotRun,
            Self::StaleConfiguration => RunState::NotRun,
            Self::NoConfiguration => RunState::NotRun,
            Self::Isolated => RunState::NotRun,
            Self::StoreUnavailable => RunState::NotRun,
            Self::Quarantined => RunState::NotRun,
            Self::RetriesSpent => RunState::NotRun,
            Self::WrongInstance => RunState::NotRun,
            Self::WrongVersion => RunState::NotRun,
            Self::PowerLimit => RunState::NotRun,
            Self::Stopping => RunState::NotRun,
            Self::Fenced => RunState::NotRun,
            Self::EndpointFull => RunState::NotRun,
            Self::EndpointLeaving => RunState::NotRun,
            Self::LimitReached => RunState::NotRun,
            Self::NoneAccepts => RunState::NotRun,
            Self::Overloaded => RunState::NotRun,
            Self::StateOutdated => RunState::NotRun,
            Self::BodyMemoryShort => RunState::NotRun,
            Self::BodyStalled => RunState::NotRun,
            Self::OutcomeUnknown => RunState::Unknown,
            Self::StillRunning => RunState::Running,
            Self::AnswerBroken => RunState::Unknown,
            Self::AnswerTimeout => RunState::Unknown,
            Self::RequestHarmful => RunState::Unknown,
            Self::FileUnreadable => RunState::NotRun,
            Self::SyntaxError => RunState::NotRun,
            Self::UnknownSection => RunState::NotRun,
            Self::UnknownKey => RunState::NotRun,
            Self::WrongUnit => RunState::NotRun,
            Self::OutOfRange => RunState::NotRun,
            Self::Duplicate => RunState::NotRun,
            Self::Missing => RunState::NotRun,
            Self::BadValue => RunState::NotRun,
            Self::BadReference => RunState::NotRun,
            Self::RaceLost => RunState::NotRun,
            Self::VersionUnknown => RunState::NotRun,
            Self::WriteUnsettled => RunState::NotRun,
            Self::NotInForce => RunState::NotRun,
            Self::ObjectApiDown => RunState::NotRun,
            Self::WeightStoreDown => RunState::NotRun,
            Self::HostListDown => RunState::NotRun,
            Self::ProcessUnreachable => RunState::NotRun,
            Self::NotStarted => RunState::NotRun,
            Self::AccessDenied => RunState::NotRun,
            Self::RateLimited => RunState::NotRun,
        }
    }
}
