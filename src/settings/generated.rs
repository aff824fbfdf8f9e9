// Generated from schema/ by `cargo run -p limpetloom-codegen`; edits are lost.
use std::sync::Arc;
use super::value_type;
use super::value_type::{ValueType, ValueError};
use super::{Document, Faults, FromIni, Key, SectionView};
/// What an endpoint is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum EndpointKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}
impl ValueType for EndpointKind {
    type Value = Self;
    const EXPECTED: &'static str = "model or service";
    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "model" => Ok(Self::Model),
            "service" => Ok(Self::Service),
            _ => Err(ValueError::Format),
        }
    }
}
/// How an entry chooses endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum RoutingPolicy {
    /// By prefix, load and latency.
    Adaptive,
    /// Baseline: any endpoint.
    Random,
    /// Baseline: the endpoints in turn.
    RoundRobin,
    /// Baseline: the lowest load as last reported.
    LeastReported,
}
impl ValueType for RoutingPolicy {
    type Value = Self;
    const EXPECTED: &'static str = "adaptive or random or round-robin or least-reported";
    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "adaptive" => Ok(Self::Adaptive),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-reported" => Ok(Self::LeastReported),
            _ => Err(ValueError::Format),
        }
    }
}
/// Format of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum LogFormat {
    /// Lines for people.
    Human,
    /// One JSON object a line.
    Json,
}
impl ValueType for LogFormat {
    type Value = Self;
    const EXPECTED: &'static str = "human or json";
    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "human" => Ok(Self::Human),
            "json" => Ok(Self::Json),
            _ => Err(ValueError::Format),
        }
    }
}
/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// The ordinary course of work too.
    Info,
    /// Everything.
    Debug,
}
impl ValueType for LogLevel {
    type Value = Self;
    const EXPECTED: &'static str = "error or warn or info or debug";
    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(ValueError::Format),
        }
    }
}
/// Who the process is.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// Name of the host, as in the platform's host list.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Region of the availability zone.
    pub region: Arc<str>,
    /// Seed of the random source; drawn at start when absent.
    pub seed: Option<u64>,
}
impl ProcessSettings {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "name",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "host",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "zone",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "region",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "seed",
            expected: <value_type::Integer as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(
        name: Arc<str>,
        host: Arc<str>,
        zone: Arc<str>,
        region: Arc<str>,
    ) -> Self {
        Self {
            name,
            host,
            zone,
            region,
            seed: None,
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let name = section.read::<value_type::Text>(&Self::KEYS[0], faults);
        let host = section.read::<value_type::Text>(&Self::KEYS[1], faults);
        let zone = section.read::<value_type::Text>(&Self::KEYS[2], faults);
        let region = section.read::<value_type::Text>(&Self::KEYS[3], faults);
        let seed = section.optional::<value_type::Integer>(&Self::KEYS[4], faults);
        Some(Self {
            name: name?,
            host: host?,
            zone: zone?,
            region: region?,
            seed: seed?,
        })
    }
}
/// Addresses that the process listens on.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    /// Address for requests, answers and chunks.
    pub traffic: std::net::SocketAddr,
    /// Address for heartbeats, status, dump and metrics.
    pub control: std::net::SocketAddr,
}
impl ListenSettings {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "traffic",
            expected: <value_type::Address as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "control",
            expected: <value_type::Address as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(traffic: std::net::SocketAddr, control: std::net::SocketAddr) -> Self {
        Self { traffic, control }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let traffic = section.read::<value_type::Address>(&Self::KEYS[0], faults);
        let control = section.read::<value_type::Address>(&Self::KEYS[1], faults);
        Some(Self {
            traffic: traffic?,
            control: control?,
        })
    }
}
/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Object API.
    pub object_api: std::net::SocketAddr,
    /// List of live and leaving hosts.
    pub host_list: std::net::SocketAddr,
    /// Rate-limited weight store.
    pub weight_store: std::net::SocketAddr,
    /// Origin of weights.
    pub origin: std::net::SocketAddr,
    /// Region in which the object API runs.
    pub store_region: Arc<str>,
}
impl PlatformSettings {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "object_api",
            expected: <value_type::Url as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "host_list",
            expected: <value_type::Url as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "weight_store",
            expected: <value_type::Url as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "origin",
            expected: <value_type::Url as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "store_region",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(
        object_api: std::net::SocketAddr,
        host_list: std::net::SocketAddr,
        weight_store: std::net::SocketAddr,
        origin: std::net::SocketAddr,
        store_region: Arc<str>,
    ) -> Self {
        Self {
            object_api,
            host_list,
            weight_store,
            origin,
            store_region,
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let object_api = section.read::<value_type::Url>(&Self::KEYS[0], faults);
        let host_list = section.read::<value_type::Url>(&Self::KEYS[1], faults);
        let weight_store = section.read::<value_type::Url>(&Self::KEYS[2], faults);
        let origin = section.read::<value_type::Url>(&Self::KEYS[3], faults);
        let store_region = section.read::<value_type::Text>(&Self::KEYS[4], faults);
        Some(Self {
            object_api: object_api?,
            host_list: host_list?,
            weight_store: weight_store?,
            origin: origin?,
            store_region: store_region?,
        })
    }
}
/// Bounds on what the process takes on.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsSettings {
    /// Largest request body.
    pub request_bytes: u64,
    /// Largest request head.
    pub header_bytes: u64,
    /// Time within which a request arrives whole.
    pub body_timeout: std::time::Duration,
    /// Time within which an answer ends.
    pub answer_timeout: std::time::Duration,
    /// Silence of a stream after which its answer goes on at another endpoint.
    pub stall_timeout: std::time::Duration,
    /// How endpoints are chosen; the other policies serve comparison.
    pub routing: RoutingPolicy,
    /// Time for which a caller may leave its answer unread.
    pub write_timeout: std::time::Duration,
    /// Requests that wait in one class.
    pub queue_length: u32,
    /// Connections to the traffic listener at once.
    pub traffic_connections: u32,
    /// Connections to the control listener at once.
    pub control_connections: u32,
    /// Largest control message.
    pub control_bytes: u64,
    /// Control calls a second that the listener takes.
    pub control_rate: u32,
    /// Time after a stop signal at which work still running is given up.
    pub stop_deadline: std::time::Duration,
    /// Interval of heartbeats between an entry and an agent.
    pub heartbeat: std::time::Duration,
    /// Interval at which an agent asks its endpoints for their state.
    pub probe_interval: std::time::Duration,
    /// Time out of touch after which new work is refused; the time within which a configuration is in force everywhere.
    pub isolation_after: std::time::Duration,
    /// Memory for chunks of weights.
    pub chunk_memory: u64,
    /// Bytes of weights a second sent to peers.
    pub upload_rate: u64,
    /// Bytes of weights a second fetched.
    pub download_rate: u64,
}
impl LimitsSettings {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "request_bytes",
            expected: <value_type::Size as ValueType>::EXPECTED,
            default: Some("4 MB"),
            min: Some("1 kB"),
            max: Some("64 MB"),
        },
        Key {
            name: "header_bytes",
            expected: <value_type::Size as ValueType>::EXPECTED,
            default: Some("16 kB"),
            min: Some("8 kB"),
            max: Some("1 MB"),
        },
        Key {
            name: "body_timeout",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("10 s"),
            min: Some("10 ms"),
            max: Some("10 min"),
        },
        Key {
            name: "answer_timeout",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("120 s"),
            min: Some("10 ms"),
            max: Some("1 h"),
        },
        Key {
            name: "stall_timeout",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("2 s"),
            min: Some("10 ms"),
            max: Some("10 min"),
        },
        Key {
            name: "routing",
            expected: <RoutingPolicy as ValueType>::EXPECTED,
            default: Some("adaptive"),
            min: None,
            max: None,
        },
        Key {
            name: "write_timeout",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("30 s"),
            min: Some("10 ms"),
            max: Some("10 min"),
        },
        Key {
            name: "queue_length",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("512"),
            min: Some("1"),
            max: Some("100000"),
        },
        Key {
            name: "traffic_connections",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("2048"),
            min: Some("1"),
            max: Some("100000"),
        },
        Key {
            name: "control_connections",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("64"),
            min: Some("1"),
            max: Some("10000"),
        },
        Key {
            name: "control_bytes",
            expected: <value_type::Size as ValueType>::EXPECTED,
            default: Some("2 MB"),
            min: Some("64 kB"),
            max: Some("16 MB"),
        },
        Key {
            name: "control_rate",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("200"),
            min: Some("1"),
            max: Some("100000"),
        },
        Key {
            name: "stop_deadline",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("60 s"),
            min: Some("0 s"),
            max: Some("1 h"),
        },
        Key {
            name: "heartbeat",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("1 s"),
            min: Some("10 ms"),
            max: Some("2 s"),
        },
        Key {
            name: "probe_interval",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("500 ms"),
            min: Some("10 ms"),
            max: Some("1 min"),
        },
        Key {
            name: "isolation_after",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: Some("5 s"),
            min: Some("10 ms"),
            max: Some("1 min"),
        },
        Key {
            name: "chunk_memory",
            expected: <value_type::Size as ValueType>::EXPECTED,
            default: Some("256 MB"),
            min: Some("64 kB"),
            max: Some("1 TB"),
        },
        Key {
            name: "upload_rate",
            expected: <value_type::Rate as ValueType>::EXPECTED,
            default: Some("100 MB/s"),
            min: Some("1 kB/s"),
            max: Some("100 GB/s"),
        },
        Key {
            name: "download_rate",
            expected: <value_type::Rate as ValueType>::EXPECTED,
            default: Some("100 MB/s"),
            min: Some("1 kB/s"),
            max: Some("100 GB/s"),
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            request_bytes: Self::KEYS[0].default_value::<value_type::Size>(),
            header_bytes: Self::KEYS[1].default_value::<value_type::Size>(),
            body_timeout: Self::KEYS[2].default_value::<value_type::Duration>(),
            answer_timeout: Self::KEYS[3].default_value::<value_type::Duration>(),
            stall_timeout: Self::KEYS[4].default_value::<value_type::Duration>(),
            routing: Self::KEYS[5].default_value::<RoutingPolicy>(),
            write_timeout: Self::KEYS[6].default_value::<value_type::Duration>(),
            queue_length: Self::KEYS[7].default_value::<value_type::Count>(),
            traffic_connections: Self::KEYS[8].default_value::<value_type::Count>(),
            control_connections: Self::KEYS[9].default_value::<value_type::Count>(),
            control_bytes: Self::KEYS[10].default_value::<value_type::Size>(),
            control_rate: Self::KEYS[11].default_value::<value_type::Count>(),
            stop_deadline: Self::KEYS[12].default_value::<value_type::Duration>(),
            heartbeat: Self::KEYS[13].default_value::<value_type::Duration>(),
            probe_interval: Self::KEYS[14].default_value::<value_type::Duration>(),
            isolation_after: Self::KEYS[15].default_value::<value_type::Duration>(),
            chunk_memory: Self::KEYS[16].default_value::<value_type::Size>(),
            upload_rate: Self::KEYS[17].default_value::<value_type::Rate>(),
            download_rate: Self::KEYS[18].default_value::<value_type::Rate>(),
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let request_bytes = section.read::<value_type::Size>(&Self::KEYS[0], faults);
        let header_bytes = section.read::<value_type::Size>(&Self::KEYS[1], faults);
        let body_timeout = section.read::<value_type::Duration>(&Self::KEYS[2], faults);
        let answer_timeout = section
            .read::<value_type::Duration>(&Self::KEYS[3], faults);
        let stall_timeout = section.read::<value_type::Duration>(&Self::KEYS[4], faults);
        let routing = section.read::<RoutingPolicy>(&Self::KEYS[5], faults);
        let write_timeout = section.read::<value_type::Duration>(&Self::KEYS[6], faults);
        let queue_length = section.read::<value_type::Count>(&Self::KEYS[7], faults);
        let traffic_connections = section
            .read::<value_type::Count>(&Self::KEYS[8], faults);
        let control_connections = section
            .read::<value_type::Count>(&Self::KEYS[9], faults);
        let control_bytes = section.read::<value_type::Size>(&Self::KEYS[10], faults);
        let control_rate = section.read::<value_type::Count>(&Self::KEYS[11], faults);
        let stop_deadline = section
            .read::<value_type::Duration>(&Self::KEYS[12], faults);
        let heartbeat = section.read::<value_type::Duration>(&Self::KEYS[13], faults);
        let probe_interval = section
            .read::<value_type::Duration>(&Self::KEYS[14], faults);
        let isolation_after = section
            .read::<value_type::Duration>(&Self::KEYS[15], faults);
        let chunk_memory = section.read::<value_type::Size>(&Self::KEYS[16], faults);
        let upload_rate = section.read::<value_type::Rate>(&Self::KEYS[17], faults);
        let download_rate = section.read::<value_type::Rate>(&Self::KEYS[18], faults);
        Some(Self {
            request_bytes: request_bytes?,
            header_bytes: header_bytes?,
            body_timeout: body_timeout?,
            answer_timeout: answer_timeout?,
            stall_timeout: stall_timeout?,
            routing: routing?,
            write_timeout: write_timeout?,
            queue_length: queue_length?,
            traffic_connections: traffic_connections?,
            control_connections: control_connections?,
            control_bytes: control_bytes?,
            control_rate: control_rate?,
            stop_deadline: stop_deadline?,
            heartbeat: heartbeat?,
            probe_interval: probe_interval?,
            isolation_after: isolation_after?,
            chunk_memory: chunk_memory?,
            upload_rate: upload_rate?,
            download_rate: download_rate?,
        })
    }
}
/// Log of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}
impl LogSettings {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "format",
            expected: <LogFormat as ValueType>::EXPECTED,
            default: Some("human"),
            min: None,
            max: None,
        },
        Key {
            name: "level",
            expected: <LogLevel as ValueType>::EXPECTED,
            default: Some("info"),
            min: None,
            max: None,
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            format: Self::KEYS[0].default_value::<LogFormat>(),
            level: Self::KEYS[1].default_value::<LogLevel>(),
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let format = section.read::<LogFormat>(&Self::KEYS[0], faults);
        let level = section.read::<LogLevel>(&Self::KEYS[1], faults);
        Some(Self {
            format: format?,
            level: level?,
        })
    }
}
/// Who may control the process.
#[derive(Clone, Debug, PartialEq)]
pub struct SecuritySettings {
    /// Token that every control call carries; the same for all processes, 16 characters or more.
    pub token: super::Secret,
}
impl SecuritySettings {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "token",
            expected: <value_type::Secret as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(token: super::Secret) -> Self {
        Self { token }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let token = section.read::<value_type::Secret>(&Self::KEYS[0], faults);
        Some(Self { token: token? })
    }
}
/// One endpoint beside the agent.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// Name, from the section's head.
    pub name: Arc<str>,
    /// Model or plain service that the endpoint serves.
    pub target: Arc<str>,
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// Address of the endpoint.
    pub address: std::net::SocketAddr,
    /// Requests that the endpoint bears at once when cold.
    pub cold_limit: u32,
    /// Requests that the endpoint bears at once when warm.
    pub limit: u32,
    /// Answers after a start or a switch of version until which the endpoint bears no more than when cold.
    pub warm_up: u32,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Draw without work.
    pub idle_power: crate::types::Milliwatts,
    /// Energy that one generated token takes.
    pub energy_per_token: crate::types::Millijoules,
}
impl EndpointSettings {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "target",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "kind",
            expected: <EndpointKind as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "address",
            expected: <value_type::Address as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "cold_limit",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("1"),
            min: Some("1"),
            max: Some("10000"),
        },
        Key {
            name: "limit",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("16"),
            min: Some("1"),
            max: Some("10000"),
        },
        Key {
            name: "warm_up",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("32"),
            min: Some("0"),
            max: Some("100000"),
        },
        Key {
            name: "checks_fencing",
            expected: <value_type::Boolean as ValueType>::EXPECTED,
            default: Some("no"),
            min: None,
            max: None,
        },
        Key {
            name: "idle_power",
            expected: <value_type::Power as ValueType>::EXPECTED,
            default: Some("0 W"),
            min: Some("0 W"),
            max: Some("100 kW"),
        },
        Key {
            name: "energy_per_token",
            expected: <value_type::Energy as ValueType>::EXPECTED,
            default: Some("0 J"),
            min: Some("0 J"),
            max: Some("1 kJ"),
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(
        name: Arc<str>,
        target: Arc<str>,
        kind: EndpointKind,
        address: std::net::SocketAddr,
    ) -> Self {
        Self {
            name,
            target,
            kind,
            address,
            cold_limit: Self::KEYS[3].default_value::<value_type::Count>(),
            limit: Self::KEYS[4].default_value::<value_type::Count>(),
            warm_up: Self::KEYS[5].default_value::<value_type::Count>(),
            checks_fencing: Self::KEYS[6].default_value::<value_type::Boolean>(),
            idle_power: Self::KEYS[7].default_value::<value_type::Power>(),
            energy_per_token: Self::KEYS[8].default_value::<value_type::Energy>(),
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let name = section.name();
        let target = section.read::<value_type::Text>(&Self::KEYS[0], faults);
        let kind = section.read::<EndpointKind>(&Self::KEYS[1], faults);
        let address = section.read::<value_type::Address>(&Self::KEYS[2], faults);
        let cold_limit = section.read::<value_type::Count>(&Self::KEYS[3], faults);
        let limit = section.read::<value_type::Count>(&Self::KEYS[4], faults);
        let warm_up = section.read::<value_type::Count>(&Self::KEYS[5], faults);
        let checks_fencing = section.read::<value_type::Boolean>(&Self::KEYS[6], faults);
        let idle_power = section.read::<value_type::Power>(&Self::KEYS[7], faults);
        let energy_per_token = section
            .read::<value_type::Energy>(&Self::KEYS[8], faults);
        Some(Self {
            name,
            target: target?,
            kind: kind?,
            address: address?,
            cold_limit: cold_limit?,
            limit: limit?,
            warm_up: warm_up?,
            checks_fencing: checks_fencing?,
            idle_power: idle_power?,
            energy_per_token: energy_per_token?,
        })
    }
}
/// The site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSection {
    /// Cap on the power that all endpoints draw together.
    pub power: crate::types::Milliwatts,
}
impl SiteSection {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "power",
            expected: <value_type::Power as ValueType>::EXPECTED,
            default: None,
            min: Some("1 W"),
            max: Some("1 GW"),
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(power: crate::types::Milliwatts) -> Self {
        Self { power }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let power = section.read::<value_type::Power>(&Self::KEYS[0], faults);
        Some(Self { power: power? })
    }
}
/// Availability zones.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonesSection {
    /// Every availability zone, comma separated; the zone commands accept these only. Empty: any name is accepted.
    pub names: Vec<Arc<str>>,
    /// Zones that take no new work. Absent: `apply` leaves the zones as they are.
    pub out: Option<Vec<Arc<str>>>,
}
impl ZonesSection {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "names",
            expected: <value_type::List as ValueType>::EXPECTED,
            default: Some(""),
            min: None,
            max: None,
        },
        Key {
            name: "out",
            expected: <value_type::List as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            names: Self::KEYS[0].default_value::<value_type::List>(),
            out: None,
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let names = section.read::<value_type::List>(&Self::KEYS[0], faults);
        let out = section.optional::<value_type::List>(&Self::KEYS[1], faults);
        Some(Self { names: names?, out: out? })
    }
}
/// A class of work.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSection {
    /// Name, from the section's head.
    pub name: Arc<str>,
    /// Model or plain service that serves the class.
    pub target: Arc<str>,
    /// Time within which an answer starts.
    pub first_token: std::time::Duration,
    /// Power that the class may draw.
    pub power: crate::types::Milliwatts,
    /// Rank among classes; a lower number goes first.
    pub priority: u8,
    /// Whether a request must run at most once and so needs an idempotency key.
    pub keyed: bool,
    /// Whether running work may be paused or cancelled and resumed later.
    pub deferrable: bool,
}
impl ClassSection {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "target",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "first_token",
            expected: <value_type::Duration as ValueType>::EXPECTED,
            default: None,
            min: Some("1 ms"),
            max: Some("10 min"),
        },
        Key {
            name: "power",
            expected: <value_type::Power as ValueType>::EXPECTED,
            default: None,
            min: Some("0 W"),
            max: Some("1 GW"),
        },
        Key {
            name: "priority",
            expected: <value_type::Rank as ValueType>::EXPECTED,
            default: Some("100"),
            min: Some("0"),
            max: Some("255"),
        },
        Key {
            name: "keyed",
            expected: <value_type::Boolean as ValueType>::EXPECTED,
            default: Some("no"),
            min: None,
            max: None,
        },
        Key {
            name: "deferrable",
            expected: <value_type::Boolean as ValueType>::EXPECTED,
            default: Some("no"),
            min: None,
            max: None,
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(
        name: Arc<str>,
        target: Arc<str>,
        first_token: std::time::Duration,
        power: crate::types::Milliwatts,
    ) -> Self {
        Self {
            name,
            target,
            first_token,
            power,
            priority: Self::KEYS[3].default_value::<value_type::Rank>(),
            keyed: Self::KEYS[4].default_value::<value_type::Boolean>(),
            deferrable: Self::KEYS[5].default_value::<value_type::Boolean>(),
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let name = section.name();
        let target = section.read::<value_type::Text>(&Self::KEYS[0], faults);
        let first_token = section.read::<value_type::Duration>(&Self::KEYS[1], faults);
        let power = section.read::<value_type::Power>(&Self::KEYS[2], faults);
        let priority = section.read::<value_type::Rank>(&Self::KEYS[3], faults);
        let keyed = section.read::<value_type::Boolean>(&Self::KEYS[4], faults);
        let deferrable = section.read::<value_type::Boolean>(&Self::KEYS[5], faults);
        Some(Self {
            name,
            target: target?,
            first_token: first_token?,
            power: power?,
            priority: priority?,
            keyed: keyed?,
            deferrable: deferrable?,
        })
    }
}
/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSection {
    /// Name, from the section's head.
    pub name: Arc<str>,
    /// Weight of the customer's fair share.
    pub weight: u32,
}
impl CustomerSection {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "weight",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: Some("1"),
            min: Some("1"),
            max: Some("1000000"),
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(name: Arc<str>) -> Self {
        Self {
            name,
            weight: Self::KEYS[0].default_value::<value_type::Count>(),
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let name = section.name();
        let weight = section.read::<value_type::Count>(&Self::KEYS[0], faults);
        Some(Self { name, weight: weight? })
    }
}
/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSection {
    /// Name, from the section's head.
    pub name: Arc<str>,
    /// Name of the version that callers see.
    pub version: Arc<str>,
    /// Replicas wanted. Absent: every endpoint of the model.
    pub replicas: Option<u32>,
}
impl ModelSection {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[
        Key {
            name: "version",
            expected: <value_type::Text as ValueType>::EXPECTED,
            default: None,
            min: None,
            max: None,
        },
        Key {
            name: "replicas",
            expected: <value_type::Count as ValueType>::EXPECTED,
            default: None,
            min: Some("0"),
            max: Some("100000"),
        },
    ];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(name: Arc<str>, version: Arc<str>) -> Self {
        Self {
            name,
            version,
            replicas: None,
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let name = section.name();
        let version = section.read::<value_type::Text>(&Self::KEYS[0], faults);
        let replicas = section.optional::<value_type::Count>(&Self::KEYS[1], faults);
        Some(Self {
            name,
            version: version?,
            replicas: replicas?,
        })
    }
}
/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSection {
    /// Name, from the section's head.
    pub name: Arc<str>,
}
impl ServiceSection {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[];
    /// Creates the section with every default.
    #[allow(clippy::new_without_default)]
    pub fn new(name: Arc<str>) -> Self {
        Self { name }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let name = section.name();
        Some(Self { name })
    }
}
/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Who the process is.
    pub process: ProcessSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Bounds on what the process takes on.
    pub limits: LimitsSettings,
    /// Log of the process.
    pub log: LogSettings,
    /// Who may control the process.
    pub security: SecuritySettings,
}
impl FromIni for EntrySettings {
    const SECTIONS: &'static [&'static str] = &[
        "process",
        "listen",
        "platform",
        "limits",
        "log",
        "security",
    ];
    fn read(document: &Document, faults: &mut Faults) -> Option<Self> {
        let process = document.single("process", faults, ProcessSettings::read);
        let listen = document.single("listen", faults, ListenSettings::read);
        let platform = document.single("platform", faults, PlatformSettings::read);
        let limits = document.single("limits", faults, LimitsSettings::read);
        let log = document.single("log", faults, LogSettings::read);
        let security = document.single("security", faults, SecuritySettings::read);
        Some(Self {
            process: process?,
            listen: listen?,
            platform: platform?,
            limits: limits?,
            log: log?,
            security: security?,
        })
    }
}
/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Who the process is.
    pub process: ProcessSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Bounds on what the process takes on.
    pub limits: LimitsSettings,
    /// Log of the process.
    pub log: LogSettings,
    /// Who may control the process.
    pub security: SecuritySettings,
    /// One endpoint beside the agent.
    pub endpoints: Vec<EndpointSettings>,
}
impl FromIni for AgentSettings {
    const SECTIONS: &'static [&'static str] = &[
        "process",
        "listen",
        "platform",
        "limits",
        "log",
        "security",
        "endpoint",
    ];
    fn read(document: &Document, faults: &mut Faults) -> Option<Self> {
        let process = document.single("process", faults, ProcessSettings::read);
        let listen = document.single("listen", faults, ListenSettings::read);
        let platform = document.single("platform", faults, PlatformSettings::read);
        let limits = document.single("limits", faults, LimitsSettings::read);
        let log = document.single("log", faults, LogSettings::read);
        let security = document.single("security", faults, SecuritySettings::read);
        let endpoints = document.many("endpoint", faults, EndpointSettings::read);
        Some(Self {
            process: process?,
            listen: listen?,
            platform: platform?,
            limits: limits?,
            log: log?,
            security: security?,
            endpoints: endpoints?,
        })
    }
}
/// Settings of an operator's commands.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Who may control the process.
    pub security: SecuritySettings,
}
impl FromIni for OperatorSettings {
    const SECTIONS: &'static [&'static str] = &["platform", "security"];
    fn read(document: &Document, faults: &mut Faults) -> Option<Self> {
        let platform = document.single("platform", faults, PlatformSettings::read);
        let security = document.single("security", faults, SecuritySettings::read);
        Some(Self {
            platform: platform?,
            security: security?,
        })
    }
}
/// Targets as operators declare them.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetsFile {
    /// The site.
    pub site: SiteSection,
    /// Availability zones.
    pub zones: ZonesSection,
    /// A class of work.
    pub classes: Vec<ClassSection>,
    /// A customer.
    pub customers: Vec<CustomerSection>,
    /// A model.
    pub models: Vec<ModelSection>,
    /// A plain service.
    pub services: Vec<ServiceSection>,
}
impl FromIni for TargetsFile {
    const SECTIONS: &'static [&'static str] = &[
        "site",
        "zones",
        "class",
        "customer",
        "model",
        "service",
    ];
    fn read(document: &Document, faults: &mut Faults) -> Option<Self> {
        let site = document.single("site", faults, SiteSection::read);
        let zones = document.single("zones", faults, ZonesSection::read);
        let classes = document.many("class", faults, ClassSection::read);
        let customers = document.many("customer", faults, CustomerSection::read);
        let models = document.many("model", faults, ModelSection::read);
        let services = document.many("service", faults, ServiceSection::read);
        Some(Self {
            site: site?,
            zones: zones?,
            classes: classes?,
            customers: customers?,
            models: models?,
            services: services?,
        })
    }
}
