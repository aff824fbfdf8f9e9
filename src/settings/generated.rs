// Generated from schema/ by `cargo run -p limpetloom-codegen`; edits are lost.
use std::sync::Arc;
use super::value_type;
use super::value_type::{ValueType, ValueError};
use super::{Document, Faults, FromIni, Key, SectionView};
/// Type of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum EndpointKind {
    /// A model engine.
    Model,
    /// A plain HTTP service.
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
    /// By cached prefix, load and latency.
    Adaptive,
    /// Baseline for comparison: a random endpoint.
    Random,
    /// Baseline for comparison: the endpoints in turn.
    RoundRobin,
    /// Baseline for comparison: the endpoint with the lowest reported load.
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
/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum LogFormat {
    /// Plain text.
    Human,
    /// One JSON object per line.
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
/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Errors, warnings and normal operation.
    Info,
    /// All lines.
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
/// Identity of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// Name of the host in the platform's host list.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Region that contains the availability zone.
    pub region: Arc<str>,
    /// Seed of the random number generator. Absent: a random seed at each start.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
        let seed = section.read_optional::<value_type::Integer>(&Self::KEYS[4], faults);
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
    /// Address for requests and weight chunks.
    pub traffic: std::net::SocketAddr,
    /// Address for control calls: heartbeats, status, dumps and metrics.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
    /// Address of the object API.
    pub object_api: std::net::SocketAddr,
    /// Address of the service that lists live and leaving hosts.
    pub host_list: std::net::SocketAddr,
    /// Address of the weight store, which limits its request rate.
    pub weight_store: std::net::SocketAddr,
    /// Address of the origin from which weights are downloaded.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
/// Resource limits and timeouts of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsSettings {
    /// Largest request body.
    pub request_bytes: u64,
    /// Memory that the bodies of all requests may take together; one of request_bytes always fits. Bodies of up to 8 KiB take nothing of it.
    pub body_memory: u64,
    /// Largest request head: request line and headers.
    pub header_bytes: u64,
    /// Time within which a request must arrive completely.
    pub body_timeout: std::time::Duration,
    /// Time within which an answer must be complete.
    pub answer_timeout: std::time::Duration,
    /// Time without data on a stream after which the answer is resumed at another endpoint.
    pub stall_timeout: std::time::Duration,
    /// How an entry chooses endpoints; all policies except adaptive are baselines for comparison.
    pub routing: RoutingPolicy,
    /// Time for which a caller may leave data of its answer unread.
    pub write_timeout: std::time::Duration,
    /// Largest number of queued requests per class.
    pub queue_length: u32,
    /// Largest number of concurrent connections to the traffic address.
    pub traffic_connections: u32,
    /// Largest number of concurrent connections to the control address.
    pub control_connections: u32,
    /// Largest control message.
    pub control_bytes: u64,
    /// Control calls per second that are accepted.
    pub control_rate: u32,
    /// Time after a stop signal at which running work is abandoned.
    pub stop_deadline: std::time::Duration,
    /// Interval between heartbeats from an entry to an agent.
    pub heartbeat: std::time::Duration,
    /// Interval at which an agent probes its endpoints.
    pub probe_interval: std::time::Duration,
    /// Time without confirmation of the configuration after which new work is refused; also the time within which a change is in force everywhere.
    pub isolation_after: std::time::Duration,
    /// Largest amount of memory for weight chunks.
    pub chunk_memory: u64,
    /// Highest rate at which weights are sent to peers.
    pub upload_rate: u64,
    /// Highest rate at which weights are downloaded.
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
            name: "body_memory",
            expected: <value_type::Size as ValueType>::EXPECTED,
            default: Some("256 MB"),
            min: Some("1 kB"),
            max: Some("64 GB"),
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
    /// Creates the section from its required keys; the other keys get their defaults.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self {
            request_bytes: Self::KEYS[0].default_value::<value_type::Size>(),
            body_memory: Self::KEYS[1].default_value::<value_type::Size>(),
            header_bytes: Self::KEYS[2].default_value::<value_type::Size>(),
            body_timeout: Self::KEYS[3].default_value::<value_type::Duration>(),
            answer_timeout: Self::KEYS[4].default_value::<value_type::Duration>(),
            stall_timeout: Self::KEYS[5].default_value::<value_type::Duration>(),
            routing: Self::KEYS[6].default_value::<RoutingPolicy>(),
            write_timeout: Self::KEYS[7].default_value::<value_type::Duration>(),
            queue_length: Self::KEYS[8].default_value::<value_type::Count>(),
            traffic_connections: Self::KEYS[9].default_value::<value_type::Count>(),
            control_connections: Self::KEYS[10].default_value::<value_type::Count>(),
            control_bytes: Self::KEYS[11].default_value::<value_type::Size>(),
            control_rate: Self::KEYS[12].default_value::<value_type::Count>(),
            stop_deadline: Self::KEYS[13].default_value::<value_type::Duration>(),
            heartbeat: Self::KEYS[14].default_value::<value_type::Duration>(),
            probe_interval: Self::KEYS[15].default_value::<value_type::Duration>(),
            isolation_after: Self::KEYS[16].default_value::<value_type::Duration>(),
            chunk_memory: Self::KEYS[17].default_value::<value_type::Size>(),
            upload_rate: Self::KEYS[18].default_value::<value_type::Rate>(),
            download_rate: Self::KEYS[19].default_value::<value_type::Rate>(),
        }
    }
    fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {
        section.report_unknown_keys(Self::KEYS, faults);
        let request_bytes = section.read::<value_type::Size>(&Self::KEYS[0], faults);
        let body_memory = section.read::<value_type::Size>(&Self::KEYS[1], faults);
        let header_bytes = section.read::<value_type::Size>(&Self::KEYS[2], faults);
        let body_timeout = section.read::<value_type::Duration>(&Self::KEYS[3], faults);
        let answer_timeout = section
            .read::<value_type::Duration>(&Self::KEYS[4], faults);
        let stall_timeout = section.read::<value_type::Duration>(&Self::KEYS[5], faults);
        let routing = section.read::<RoutingPolicy>(&Self::KEYS[6], faults);
        let write_timeout = section.read::<value_type::Duration>(&Self::KEYS[7], faults);
        let queue_length = section.read::<value_type::Count>(&Self::KEYS[8], faults);
        let traffic_connections = section
            .read::<value_type::Count>(&Self::KEYS[9], faults);
        let control_connections = section
            .read::<value_type::Count>(&Self::KEYS[10], faults);
        let control_bytes = section.read::<value_type::Size>(&Self::KEYS[11], faults);
        let control_rate = section.read::<value_type::Count>(&Self::KEYS[12], faults);
        let stop_deadline = section
            .read::<value_type::Duration>(&Self::KEYS[13], faults);
        let heartbeat = section.read::<value_type::Duration>(&Self::KEYS[14], faults);
        let probe_interval = section
            .read::<value_type::Duration>(&Self::KEYS[15], faults);
        let isolation_after = section
            .read::<value_type::Duration>(&Self::KEYS[16], faults);
        let chunk_memory = section.read::<value_type::Size>(&Self::KEYS[17], faults);
        let upload_rate = section.read::<value_type::Rate>(&Self::KEYS[18], faults);
        let download_rate = section.read::<value_type::Rate>(&Self::KEYS[19], faults);
        Some(Self {
            request_bytes: request_bytes?,
            body_memory: body_memory?,
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
    /// Format of log lines.
    pub format: LogFormat,
    /// Lowest severity that is logged.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
/// Access to the control address.
#[derive(Clone, Debug, PartialEq)]
pub struct SecuritySettings {
    /// Token that authenticates control calls; the same in all processes, at least 16 characters.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
/// An endpoint on the agent's host.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// Name in the section's header.
    pub name: Arc<str>,
    /// Model or plain service that the endpoint serves.
    pub target: Arc<str>,
    /// Type of the endpoint.
    pub kind: EndpointKind,
    /// Address of the endpoint.
    pub address: std::net::SocketAddr,
    /// Concurrency limit of the endpoint while it is cold.
    pub cold_limit: u32,
    /// Highest concurrency limit of the endpoint once it is warm.
    pub limit: u32,
    /// Number of answers after a start or a version switch during which the endpoint counts as cold.
    pub warm_up: u32,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Power that the endpoint draws when idle.
    pub idle_power: crate::types::Milliwatts,
    /// Energy used per generated token.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
/// Limits of the whole site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSection {
    /// Cap on the total power of all endpoints.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
    /// All availability zones, separated by commas; the zone commands accept only these. Empty: any name is accepted.
    pub names: Vec<Arc<str>>,
    /// Zones that get no new work. Absent: `apply` leaves the zones unchanged.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
        let out = section.read_optional::<value_type::List>(&Self::KEYS[1], faults);
        Some(Self { names: names?, out: out? })
    }
}
/// A class of work: requests with the same target, latency target, power budget and priority.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSection {
    /// Name in the section's header.
    pub name: Arc<str>,
    /// Model or plain service that serves the class.
    pub target: Arc<str>,
    /// Target for the time to the first token of an answer.
    pub first_token: std::time::Duration,
    /// Power budget of the class.
    pub power: crate::types::Milliwatts,
    /// Priority among classes; a lower number is served first.
    pub priority: u8,
    /// Whether requests must run at most once and therefore need an idempotency key.
    pub keyed: bool,
    /// Whether running requests may be paused or cancelled and resumed later.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
/// A customer and its weight in fair sharing.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSection {
    /// Name in the section's header.
    pub name: Arc<str>,
    /// Weight of the customer in fair sharing.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
/// A model and its version to serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSection {
    /// Name in the section's header.
    pub name: Arc<str>,
    /// Name of the version to serve, as callers see it.
    pub version: Arc<str>,
    /// Desired number of replicas. Absent: one on every endpoint of the model.
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
    /// Creates the section from its required keys; the other keys get their defaults.
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
        let replicas = section
            .read_optional::<value_type::Count>(&Self::KEYS[1], faults);
        Some(Self {
            name,
            version: version?,
            replicas: replicas?,
        })
    }
}
/// A plain service: a back end other than a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSection {
    /// Name in the section's header.
    pub name: Arc<str>,
}
impl ServiceSection {
    /// Keys of the section.
    pub const KEYS: &'static [Key] = &[];
    /// Creates the section from its required keys; the other keys get their defaults.
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
    /// Identity of the process.
    pub process: ProcessSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Resource limits and timeouts of the process.
    pub limits: LimitsSettings,
    /// Log of the process.
    pub log: LogSettings,
    /// Access to the control address.
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
        let process = document
            .read_unnamed_section("process", faults, ProcessSettings::read);
        let listen = document
            .read_unnamed_section("listen", faults, ListenSettings::read);
        let platform = document
            .read_unnamed_section("platform", faults, PlatformSettings::read);
        let limits = document
            .read_unnamed_section("limits", faults, LimitsSettings::read);
        let log = document.read_unnamed_section("log", faults, LogSettings::read);
        let security = document
            .read_unnamed_section("security", faults, SecuritySettings::read);
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
    /// Identity of the process.
    pub process: ProcessSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Resource limits and timeouts of the process.
    pub limits: LimitsSettings,
    /// Log of the process.
    pub log: LogSettings,
    /// Access to the control address.
    pub security: SecuritySettings,
    /// An endpoint on the agent's host.
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
        let process = document
            .read_unnamed_section("process", faults, ProcessSettings::read);
        let listen = document
            .read_unnamed_section("listen", faults, ListenSettings::read);
        let platform = document
            .read_unnamed_section("platform", faults, PlatformSettings::read);
        let limits = document
            .read_unnamed_section("limits", faults, LimitsSettings::read);
        let log = document.read_unnamed_section("log", faults, LogSettings::read);
        let security = document
            .read_unnamed_section("security", faults, SecuritySettings::read);
        let endpoints = document
            .read_named_sections("endpoint", faults, EndpointSettings::read);
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
    /// Access to the control address.
    pub security: SecuritySettings,
}
impl FromIni for OperatorSettings {
    const SECTIONS: &'static [&'static str] = &["platform", "security"];
    fn read(document: &Document, faults: &mut Faults) -> Option<Self> {
        let platform = document
            .read_unnamed_section("platform", faults, PlatformSettings::read);
        let security = document
            .read_unnamed_section("security", faults, SecuritySettings::read);
        Some(Self {
            platform: platform?,
            security: security?,
        })
    }
}
/// Targets that operators declare.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetsFile {
    /// Limits of the whole site.
    pub site: SiteSection,
    /// Availability zones.
    pub zones: ZonesSection,
    /// A class of work: requests with the same target, latency target, power budget and priority.
    pub classes: Vec<ClassSection>,
    /// A customer and its weight in fair sharing.
    pub customers: Vec<CustomerSection>,
    /// A model and its version to serve.
    pub models: Vec<ModelSection>,
    /// A plain service: a back end other than a model engine.
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
        let site = document.read_unnamed_section("site", faults, SiteSection::read);
        let zones = document.read_unnamed_section("zones", faults, ZonesSection::read);
        let classes = document.read_named_sections("class", faults, ClassSection::read);
        let customers = document
            .read_named_sections("customer", faults, CustomerSection::read);
        let models = document.read_named_sections("model", faults, ModelSection::read);
        let services = document
            .read_named_sections("service", faults, ServiceSection::read);
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
