//! Metrics of a process in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::codes::Code;

const METER: &str = "limpetloom";
/// Bucket boundaries of histograms of durations, in seconds.
const BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.89, 1.5, 3.0, 10.0, 60.0,
];

/// Final result of a request, as counted by an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    /// The whole answer was forwarded to the caller.
    Answered,
    /// The stored answer of an earlier run was sent.
    Replayed,
    /// The request was refused with this code.
    Refused(Code),
    /// The caller went away.
    CallerGone,
}

/// Result of an attempt, as counted by an agent, or by an entry that calls endpoints directly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The endpoint sent the whole answer.
    Answered,
    /// The attempt was refused with this code, and the endpoint did not run the request.
    Refused(Code),
    /// The connection to the endpoint broke.
    Broken,
    /// The entry disconnected.
    EntryGone,
    /// The endpoint answered with an error.
    Failed,
    /// No connection to the endpoint could be made, or the attempt was withdrawn before it was sent.
    NotSent,
    /// The endpoint sent no data for too long.
    Silent,
    /// Another attempt of the same request answered first.
    Superseded,
    /// The answer was not complete in time.
    TimedOut,
    /// It was taken back, since the version of its engine ends.
    Recalled,
    /// The caller went away.
    CallerGone,
}

/// Operation of a process apart from serving requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Read the report of the endpoint on the agent's host.
    EndpointReport,
    /// Upload a version to the endpoint's staging area.
    Stage,
    /// Verify the staged version and order the endpoint to load it.
    Order,
    /// Download a chunk from the origin.
    OriginChunk,
    /// Download a chunk from another host.
    PeerChunk,
}

impl Operation {
    fn name(self) -> &'static str {
        match self {
            Self::EndpointReport => "endpoint report",
            Self::Stage => "stage",
            Self::Order => "order",
            Self::OriginChunk => "origin chunk",
            Self::PeerChunk => "peer chunk",
        }
    }
}

/// What an endpoint asks of its entries, as counted by an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointSignal {
    /// No further request from this entry for some time.
    Rest,
    /// No further request, since it leaves.
    Leaving,
}

/// Kind of news that a process acts on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// A configuration that the store announced.
    Configuration,
    /// A change of the endpoints that the store announced.
    Endpoints,
    /// A change of the evacuated zones that the store announced.
    Zones,
    /// A version that the store announced.
    Version,
    /// The deadline of a request.
    Deadline,
}

impl News {
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Zones => "zones",
            Self::Version => "version",
            Self::Deadline => "deadline",
        }
    }
}

/// Loop of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loop {
    /// Handles what other processes send, and timers.
    Control,
    /// Carries requests.
    Traffic,
}

impl Loop {
    fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Traffic => "traffic",
        }
    }
}

/// A datagram between entries and agents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Datagram {
    /// It was sent.
    Sent,
    /// It was received and understood.
    Received,
    /// It was received and not understood.
    Refused,
    /// It was too large to be sent.
    Unsent,
}

impl Datagram {
    fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
            Self::Refused => "refused",
            Self::Unsent => "unsent",
        }
    }
}

/// Metric instruments of a process; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    registry: Registry,
    /// Held because dropping the provider shuts the instruments down.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    first_byte: Histogram<f64>,
    in_flight: UpDownCounter<i64>,
    operations: Histogram<f64>,
    store_eras: Counter<u64>,
    objects_left_out: Counter<u64>,
    set_aside: UpDownCounter<i64>,
    body_memory: Gauge<u64>,
    endpoint_signals: Counter<u64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    news_age: Histogram<f64>,
    loop_delay: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments with a new registry.
    ///
    /// # Panics
    ///
    /// Never in practice: a new registry accepts the exporter.
    pub fn new() -> Self {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter(METER);
        let inner = Inner {
            requests: meter
                .u64_counter("requests")
                .with_description("Final answers")
                .build(),
            attempts: meter
                .u64_counter("attempts")
                .with_description("Ended attempts")
                .build(),
            first_byte: meter
                .f64_histogram("first_byte")
                .with_description("Time to the first byte of an answer")
                .with_unit("s")
                .with_boundaries(BUCKETS_SECONDS.to_vec())
                .build(),
            in_flight: meter
                .i64_up_down_counter("in_flight")
                .with_description("Requests in progress")
                .build(),
            operations: meter
                .f64_histogram("operations")
                .with_description("Time that operations took")
                .with_unit("s")
                .with_boundaries(BUCKETS_SECONDS.to_vec())
                .build(),
            store_eras: meter
                .u64_counter("store_eras")
                .with_description("Returns of the object API as an older copy")
                .build(),
            objects_left_out: meter
                .u64_counter("objects_left_out")
                .with_description(
                    "Objects that are not held, since they would take too much memory",
                )
                .build(),
            set_aside: meter
                .i64_up_down_counter("objects_set_aside")
                .with_description("Objects that cannot be read or are not valid")
                .build(),
            body_memory: meter
                .u64_gauge("request_body_bytes")
                .with_description("Memory that the bodies of requests take")
                .build(),
            endpoint_signals: meter
                .u64_counter("endpoint_signals")
                .with_description("Rests that endpoints asked for, and announcements of leaving")
                .build(),
            datagrams: meter
                .u64_counter("control_datagrams")
                .with_description("Datagrams between entries and agents")
                .build(),
            datagram_bytes: meter
                .u64_counter("control_bytes")
                .with_description("Bytes of datagrams between entries and agents")
                .build(),
            news_age: meter
                .f64_histogram("news_age")
                .with_description("Age of news when the process acted on it")
                .with_unit("s")
                .with_boundaries(BUCKETS_SECONDS.to_vec())
                .build(),
            loop_delay: meter
                .f64_histogram("loop_delay")
                .with_description("Delay of the periodic ticks of a loop")
                .with_unit("s")
                .with_boundaries(BUCKETS_SECONDS.to_vec())
                .build(),
            registry,
            _provider: provider,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counts a request by its final result.
    pub fn count_request(&self, class: &str, result: RequestResult) {
        let (result, code) = match result {
            RequestResult::Answered => ("answered", 0),
            RequestResult::Replayed => ("replayed", 0),
            RequestResult::Refused(code) => ("refused", code.number()),
            RequestResult::CallerGone => ("caller gone", 0),
        };
        // A class name that a caller invented must not become a label value, or callers could
        // create any number of time series.
        let class = if code == Code::UnknownClass.number() {
            ""
        } else {
            class
        };
        self.inner
            .requests
            .add(1, &request_labels(class, result, code));
    }

    /// Counts an attempt by its result.
    pub fn count_attempt(&self, endpoint: &str, result: AttemptResult) {
        let (result, code) = match result {
            AttemptResult::Answered => ("answered", 0),
            AttemptResult::Refused(code) => ("refused", code.number()),
            AttemptResult::Broken => ("broken", 0),
            AttemptResult::EntryGone => ("entry gone", 0),
            AttemptResult::Failed => ("failed", 0),
            AttemptResult::NotSent => ("not sent", 0),
            AttemptResult::Silent => ("silent", 0),
            AttemptResult::Superseded => ("superseded", 0),
            AttemptResult::TimedOut => ("timed out", 0),
            AttemptResult::Recalled => ("recalled", 0),
            AttemptResult::CallerGone => ("caller gone", 0),
        };
        let labels = [
            KeyValue::new("endpoint", endpoint.to_owned()),
            KeyValue::new("result", result),
            KeyValue::new("code", i64::from(code)),
        ];
        self.inner.attempts.add(1, &labels);
    }

    /// Records the time to the first byte of an answer.
    pub fn record_first_byte(&self, class: &str, elapsed: Duration) {
        let labels = [KeyValue::new("class", class.to_owned())];
        self.inner.first_byte.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records the duration of an operation and whether it succeeded.
    pub fn record_operation(&self, operation: Operation, succeeded: bool, elapsed: Duration) {
        let labels = [
            KeyValue::new("operation", operation.name()),
            KeyValue::new("result", if succeeded { "done" } else { "failed" }),
        ];
        self.inner.operations.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts a return of the object API as an older copy.
    pub fn count_store_era(&self) {
        self.inner.store_eras.add(1, &[]);
    }

    /// Counts objects of a kind that are not held, since they would take too much memory.
    pub fn count_objects_left_out(&self, kind: &'static str, objects: u64) {
        let labels = [KeyValue::new("kind", kind)];
        self.inner.objects_left_out.add(objects, &labels);
    }

    /// Adds to the number of objects of a kind that are set aside.
    pub fn add_set_aside(&self, kind: &'static str, objects: i64) {
        let labels = [KeyValue::new("kind", kind)];
        self.inner.set_aside.add(objects, &labels);
    }

    /// Records the memory that the bodies of requests take, in bytes.
    pub fn record_body_memory(&self, bytes: usize) {
        self.inner.body_memory.record(bytes as u64, &[]);
    }

    /// Counts something that an endpoint asks of its entries.
    pub fn count_endpoint_signal(&self, signal: EndpointSignal) {
        let name = match signal {
            EndpointSignal::Rest => "rest",
            EndpointSignal::Leaving => "leaving",
        };
        let labels = [KeyValue::new("signal", name)];
        self.inner.endpoint_signals.add(1, &labels);
    }

    /// Counts a datagram of `bytes` between entries and agents.
    pub fn count_datagram(&self, datagram: Datagram, bytes: usize) {
        let labels = [KeyValue::new("result", datagram.name())];
        self.inner.datagrams.add(1, &labels);
        self.inner.datagram_bytes.add(bytes as u64, &labels);
    }

    /// Records the age of news at which the process acts on it.
    pub fn record_news_age(&self, news: News, age: Duration) {
        let labels = [KeyValue::new("news", news.name())];
        self.inner.news_age.record(age.as_secs_f64(), &labels);
    }

    /// Records by how much a tick of a loop was late.
    pub fn record_loop_delay(&self, of: Loop, delay: Duration) {
        let labels = [KeyValue::new("loop", of.name())];
        self.inner.loop_delay.record(delay.as_secs_f64(), &labels);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_in_flight(&self) -> InFlight {
        self.inner.in_flight.add(1, &[]);
        InFlight {
            metrics: self.clone(),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn scrape(&self) -> String {
        let families = self.inner.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    metrics: Metrics,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.metrics.inner.in_flight.add(-1, &[]);
    }
}

fn request_labels(class: &str, result: &'static str, code: u16) -> [KeyValue; 3] {
    [
        KeyValue::new("class", class.to_owned()),
        KeyValue::new("result", result),
        KeyValue::new("code", i64::from(code)),
    ]
}
