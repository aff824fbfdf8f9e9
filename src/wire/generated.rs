// Generated from schema/ by `cargo run -p limpetloom-codegen`; edits are lost.
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///A class of work as an entry sees it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClassStatus {
    pub answered: u64,
    pub class: ::std::string::String,
    ///95th percentile of the recent times to the first token, in milliseconds.
    pub first_token_p95_ms: u32,
    pub in_flight: u32,
    pub queued: u32,
    pub refused: u64,
}
impl ::std::convert::From<&ClassStatus> for ClassStatus {
    fn from(value: &ClassStatus) -> Self {
        value.clone()
    }
}
///Load and state of one endpoint.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndpointReport {
    pub endpoint: ::std::string::String,
    ///Moving average of the time to the first token, in milliseconds.
    pub first_token_ms: u32,
    ///Declared power draw at full load in milliwatts.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub full_power_mw: ::std::option::Option<u64>,
    pub in_flight: u32,
    ///Instance id of the endpoint's process.
    pub instance: u64,
    ///Number of requests that the endpoint can currently run at the same time.
    pub limit: u32,
    ///Power draw in milliwatts according to the power model.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub power_mw: ::std::option::Option<u64>,
    ///Share of the wanted version's chunks that are verified, in thousandths.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub progress_permille: ::std::option::Option<u32>,
    pub queued: u32,
    pub state: EndpointState,
    ///Model or service that the endpoint serves.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub target: ::std::option::Option<::std::string::String>,
    ///Hexadecimal digest of the active version; absent for a plain service.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&EndpointReport> for EndpointReport {
    fn from(value: &EndpointReport) -> Self {
        value.clone()
    }
}
///Lifecycle state of an endpoint as its agent sees it.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum EndpointState {
    #[serde(rename = "down")]
    Down,
    #[serde(rename = "loading")]
    Loading,
    #[serde(rename = "cold")]
    Cold,
    #[serde(rename = "ready")]
    Ready,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for EndpointState {
    fn from(value: &EndpointState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for EndpointState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Down => f.write_str("down"),
            Self::Loading => f.write_str("loading"),
            Self::Cold => f.write_str("cold"),
            Self::Ready => f.write_str("ready"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for EndpointState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "down" => Ok(Self::Down),
            "loading" => Ok(Self::Loading),
            "cold" => Ok(Self::Cold),
            "ready" => Ok(Self::Ready),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EndpointState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for EndpointState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EndpointState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An entry's view of the system.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EntryStatus {
    pub classes: ::std::vec::Vec<ClassStatus>,
    pub entry: ::std::string::String,
    ///Generation of the configuration that the entry has.
    pub generation: u64,
    pub hosts: ::std::vec::Vec<HostStatus>,
    ///False while the entry refuses new requests because it has no confirmed configuration.
    pub in_force: bool,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub quarantine: ::std::vec::Vec<QuarantineRecord>,
    pub store: StoreContact,
    pub zone: ::std::string::String,
}
impl ::std::convert::From<&EntryStatus> for EntryStatus {
    fn from(value: &EntryStatus) -> Self {
        value.clone()
    }
}
///Host of an agent as an entry sees it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostStatus {
    ///Milliseconds since the last heartbeat that the agent answered.
    pub age_ms: u64,
    pub endpoints: ::std::vec::Vec<EndpointReport>,
    ///Generation of the configuration that the agent has.
    pub generation: u64,
    pub host: ::std::string::String,
    pub leaving: bool,
    ///True while heartbeats to the agent fail.
    pub suspect: bool,
    pub zone: ::std::string::String,
}
impl ::std::convert::From<&HostStatus> for HostStatus {
    fn from(value: &HostStatus) -> Self {
        value.clone()
    }
}
///Fingerprint of a request that was in flight when endpoints crashed.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct QuarantineRecord {
    ///Milliseconds since the record last changed.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub age_ms: ::std::option::Option<u64>,
    ///Instance ids of crashes that the request did not cause, as it completed later while running alone.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub cleared: ::std::vec::Vec<u64>,
    ///Instance ids of the endpoint processes that crashed; a receiver adds them to its own set.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub crashed: ::std::vec::Vec<u64>,
    ///Number of endpoint crashes while the request was in flight, without the cleared ones.
    pub crashes: u32,
    ///Hexadecimal BLAKE3 digest of class and body.
    pub fingerprint: ::std::string::String,
}
impl ::std::convert::From<&QuarantineRecord> for QuarantineRecord {
    fn from(value: &QuarantineRecord) -> Self {
        value.clone()
    }
}
///Reply to a settle request.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SettleReply {
    pub agent_instance: u64,
    ///Stored answer of a completed attempt.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<::std::string::String>,
    pub state: SettleState,
}
impl ::std::convert::From<&SettleReply> for SettleReply {
    fn from(value: &SettleReply) -> Self {
        value.clone()
    }
}
///Asks an agent for the state of a keyed attempt; an attempt that it does not know is fenced, so that it can not run later.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SettleRequest {
    pub attempt: ::std::string::String,
    pub key: ::std::string::String,
}
impl ::std::convert::From<&SettleRequest> for SettleRequest {
    fn from(value: &SettleRequest) -> Self {
        value.clone()
    }
}
///State of a keyed attempt as its agent knows it.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum SettleState {
    #[serde(rename = "fenced")]
    Fenced,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::convert::From<&Self> for SettleState {
    fn from(value: &SettleState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for SettleState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Fenced => f.write_str("fenced"),
            Self::Running => f.write_str("running"),
            Self::Done => f.write_str("done"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for SettleState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "fenced" => Ok(Self::Fenced),
            "running" => Ok(Self::Running),
            "done" => Ok(Self::Done),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SettleState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for SettleState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SettleState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State of the connection to the object API as a process knows it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreContact {
    ///Milliseconds since the object API confirmed the newest generation, directly or through peers.
    pub age_ms: u64,
    ///Newest stamp_ms that the sender has received from the receiver; gives an upper bound on the age of the message.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub echo_ms: ::std::option::Option<u64>,
    ///Entries in the region of the object API whose calls it does not answer.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub outages: ::std::vec::Vec<StoreOutage>,
    ///True while the object API answers calls of this process.
    pub reachable: bool,
    ///Time on the clock of the sender at which it built the message.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub stamp_ms: ::std::option::Option<u64>,
}
impl ::std::convert::From<&StoreContact> for StoreContact {
    fn from(value: &StoreContact) -> Self {
        value.clone()
    }
}
///An entry in the region of the object API whose calls the object API does not answer.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreOutage {
    ///Milliseconds since its last failed call.
    pub age_ms: u64,
    ///Name of the entry.
    pub entry: ::std::string::String,
}
impl ::std::convert::From<&StoreOutage> for StoreOutage {
    fn from(value: &StoreOutage) -> Self {
        value.clone()
    }
}
///Reply of an agent to a heartbeat.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SyncReply {
    ///Instance id of the agent's process.
    pub agent_instance: u64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub config: ::std::option::Option<VersionedDocument>,
    pub endpoints: ::std::vec::Vec<EndpointReport>,
    ///Generation of the configuration that the sender has.
    pub generation: u64,
    pub host: ::std::string::String,
    pub leaving: bool,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub placement: ::std::option::Option<VersionedDocument>,
    ///Version of the placement that the sender has.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub placement_version: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub quarantine: ::std::vec::Vec<QuarantineRecord>,
    ///Revision of the reports. Endpoints that have not changed since the revision that the entry has are omitted.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
    pub store: StoreContact,
    pub zone: ::std::string::String,
}
impl ::std::convert::From<&SyncReply> for SyncReply {
    fn from(value: &SyncReply) -> Self {
        value.clone()
    }
}
///Heartbeat from an entry to an agent.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SyncRequest {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub config: ::std::option::Option<VersionedDocument>,
    pub entry: ::std::string::String,
    ///Generation of the configuration that the sender has.
    pub generation: u64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub placement: ::std::option::Option<VersionedDocument>,
    ///Version of the placement that the sender has.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub placement_version: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub quarantine: ::std::vec::Vec<QuarantineRecord>,
    ///Instance id of the agent's process whose reports the entry has.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub seen_instance: ::std::option::Option<u64>,
    ///Newest revision of the reports that the entry has from that instance.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub seen_revision: ::std::option::Option<u64>,
    pub store: StoreContact,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub zone: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&SyncRequest> for SyncRequest {
    fn from(value: &SyncRequest) -> Self {
        value.clone()
    }
}
///A configuration or a placement, with the version of the object that stores it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct VersionedDocument {
    ///Content of the object as JSON text.
    pub body: ::std::string::String,
    ///Version of the object in the object API.
    pub generation: u64,
}
impl ::std::convert::From<&VersionedDocument> for VersionedDocument {
    fn from(value: &VersionedDocument) -> Self {
        value.clone()
    }
}
