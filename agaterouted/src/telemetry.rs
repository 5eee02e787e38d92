//! Metrics and traces with OpenTelemetry, and the Prometheus page.

use std::time::Duration;

use agateroute_config::settings::Settings;
use http::HeaderMap;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider};
use prometheus::{Registry, TextEncoder};

/// The bucket bounds of latency histograms.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.047, 0.1, 0.2, 0.5, 1.2, 2.5, 5.0, 10.0, 30.0];

/// An exporter or provider could not be set up.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{step}: {cause}")]
pub struct TelemetryError {
    /// The step that failed: `metrics` or `traces`.
    pub step: &'static str,
    /// The message of the library that failed.
    #[error(not(source))]
    pub cause: String,
}

/// The instruments of an instance, and the providers that export them.
#[derive(Debug)]
pub struct Telemetry {
    /// Ended requests, by organisation, kind, rank and outcome.
    pub requests: Counter<u64>,
    /// The time from arrival to the first token, in seconds.
    pub first_token: Histogram<f64>,
    /// The time from arrival to the complete answer of a plain call, in seconds.
    pub answer: Histogram<f64>,
    /// The time from arrival to the start of each attempt, in seconds.
    pub queue: Histogram<f64>,
    /// Tokens relayed to callers.
    pub tokens: Counter<u64>,
    /// Pauses between tokens longer than the target of the rank.
    pub stalls: Counter<u64>,
    /// Streams from backend servers that were cut and resumed.
    pub resumes: Counter<u64>,
    /// Chunks dropped because they were repeated or belonged to another generation.
    pub dropped: Counter<u64>,
    /// Bytes of messages sent to other instances.
    pub control_bytes: Counter<u64>,
    /// Messages sent to other instances.
    pub control_messages: Counter<u64>,
    /// Requests in progress.
    pub active: UpDownCounter<i64>,
    /// Open connections of callers of routes.
    pub connections: UpDownCounter<i64>,
    /// Streams that missed a target, by cause.
    pub late_streams: Counter<u64>,
    /// Bodies of requests that are being read.
    pub bodies: UpDownCounter<i64>,
    /// Bytes of the bodies of requests that are being read.
    pub body_bytes: UpDownCounter<i64>,
    /// Backend servers owned by this instance that became cold.
    pub cold_servers: Counter<u64>,
    /// How often backend servers owned by this instance were closed because they lost requests.
    pub failing_servers: Counter<u64>,
    /// Requests from this instance that a backend server reset before the first byte of its response.
    pub resets: Counter<u64>,
    /// The backend servers in evacuated availability zones at the last change of these.
    pub evacuated_servers: Gauge<u64>,
    /// Bodies of requests that were not read to their end, by cause.
    pub refused_bodies: Counter<u64>,
    /// Requests that may be repeated and got no further attempt, by cause.
    pub retries_refused: Counter<u64>,
    /// Generations that were placed by quotes.
    pub placed: Counter<u64>,
    /// The reading time that kept prefixes were expected to save these, in milliseconds.
    pub saved_ms: Counter<u64>,
    /// Copies of generations on leaving servers, by outcome.
    pub copies: Counter<u64>,
    /// Generations that were not moved away from leaving servers, by outcome.
    pub left_behind: Counter<u64>,
    /// Reads of the whole list of servers from the table service.
    pub list_reads: Counter<u64>,
    /// Bytes of the replies to fetches of peers.
    pub list_bytes: Counter<u64>,
    /// Fetches of peers that were refused since enough others are served.
    pub list_refusals: Counter<u64>,
    /// Requests that were refused because no server had room in time, by reason and whether their callers can come back.
    pub shed: Counter<u64>,
    /// The delay that was stated to these, in seconds.
    pub stated_delay: Histogram<f64>,
    /// Denials that were relied on for these without asking the server again.
    pub remembered_denials: Counter<u64>,
    /// The time from the stated time to the permit of callers that came back to this instance, in seconds.
    pub return_wait: Histogram<f64>,
    /// The time from the announcement of a version by a peer until it was active here, in seconds.
    pub version_delay: Histogram<f64>,
    registry: Registry,
    meter_provider: SdkMeterProvider,
    tracer_provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Telemetry {
    /// Starts metrics and traces, and exports them if the settings name a collector.
    pub fn start(settings: &Settings) -> Result<Telemetry, TelemetryError> {
        let resource = Resource::builder()
            .with_service_name("agaterouted")
            .with_attribute(KeyValue::new("service.instance.id", settings.instance.clone()))
            .with_attribute(KeyValue::new("cloud.availability_zone", settings.zone.clone()))
            .build();
        let registry = Registry::new();
        let meter_provider = start_meters(settings, &registry, resource.clone())?;
        let tracer_provider = start_tracers(settings, resource)?;
        let meter = meter_provider.meter("agaterouted");
        Ok(Telemetry {
            requests: counter(&meter, "agateroute.requests", "Requests that ended"),
            first_token: latency(&meter, "agateroute.first_token", "Arrival to first token"),
            answer: latency(&meter, "agateroute.answer", "Arrival to whole plain answer"),
            queue: latency(&meter, "agateroute.queue", "Arrival to permit"),
            tokens: counter(&meter, "agateroute.tokens", "Tokens passed on"),
            stalls: counter(&meter, "agateroute.stalls", "Pauses above the target"),
            late_streams: counter(&meter, "agateroute.late_streams", "Late streams by cause"),
            resumes: counter(&meter, "agateroute.resumes", "Cut links that were resumed"),
            dropped: counter(&meter, "agateroute.dropped", "Repeated or crossed chunks dropped"),
            control_bytes: counter(&meter, "agateroute.control_bytes", "Bytes sent to peers"),
            control_messages: counter(
                &meter,
                "agateroute.control_messages",
                "Messages sent to peers",
            ),
            active: gauge(&meter, "agateroute.active", "Requests in progress"),
            connections: gauge(&meter, "agateroute.connections", "Connections of callers"),
            bodies: gauge(&meter, "agateroute.bodies", "Request bodies being read"),
            body_bytes: gauge(&meter, "agateroute.body_bytes", "Bytes of these bodies"),
            cold_servers: counter(&meter, "agateroute.cold_servers", "Servers that became cold"),
            failing_servers: counter(
                &meter,
                "agateroute.failing_servers",
                "Servers closed because they lost requests",
            ),
            resets: counter(&meter, "agateroute.resets", "Requests reset by their server"),
            evacuated_servers: meter
                .u64_gauge("agateroute.evacuated_servers")
                .with_description("Servers in evacuated zones")
                .build(),
            refused_bodies: counter(
                &meter,
                "agateroute.refused_bodies",
                "Request bodies not read to their end",
            ),
            retries_refused: counter(
                &meter,
                "agateroute.retries_refused",
                "Retries refused by cause",
            ),
            placed: counter(&meter, "agateroute.placed", "Generations placed by quotes"),
            saved_ms: counter(&meter, "agateroute.saved_ms", "Reading time saved by kept prefixes"),
            copies: counter(&meter, "agateroute.copies", "Copies of generations by outcome"),
            left_behind: counter(
                &meter,
                "agateroute.left_behind",
                "Generations that stayed on leaving servers by outcome",
            ),
            list_reads: counter(&meter, "agateroute.list_reads", "Reads of the list of servers"),
            list_bytes: counter(&meter, "agateroute.list_bytes", "Bytes sent to fetching peers"),
            list_refusals: counter(&meter, "agateroute.list_refusals", "Fetches refused"),
            shed: counter(&meter, "agateroute.shed", "Requests refused for lack of room in time"),
            stated_delay: latency(
                &meter,
                "agateroute.stated_delay",
                "The delay stated to refused callers",
            ),
            remembered_denials: counter(
                &meter,
                "agateroute.remembered_denials",
                "Denials relied on without asking the server again",
            ),
            return_wait: latency(
                &meter,
                "agateroute.return_wait",
                "From the stated time to the permit of a caller that came back",
            ),
            version_delay: latency(
                &meter,
                "agateroute.version_delay",
                "From the announcement of a version until it was active",
            ),
            tracer: tracer_provider.tracer("agaterouted"),
            registry,
            meter_provider,
            tracer_provider,
        })
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn metrics_page(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }

    /// Starts a child span of a context and returns the context with it.
    pub fn span(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Context {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        parent.with_span(span)
    }

    /// Exports the remaining spans and metrics. Waits at most two seconds for each of them.
    pub fn shutdown(&self) {
        let _ = self.tracer_provider.shutdown_with_timeout(Duration::from_secs(2));
        let _ = self.meter_provider.shutdown_with_timeout(Duration::from_secs(2));
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> UpDownCounter<i64> {
    meter.i64_up_down_counter(name).with_description(description).build()
}

fn latency(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

fn start_meters(
    settings: &Settings,
    registry: &Registry,
    resource: Resource,
) -> Result<SdkMeterProvider, TelemetryError> {
    let error = |cause: String| TelemetryError { step: "metrics", cause };
    let reader = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|e| error(e.to_string()))?;
    let mut builder = SdkMeterProvider::builder().with_resource(resource).with_reader(reader);
    if let Some(otlp) = &settings.telemetry.otlp {
        let exporter = opentelemetry_otlp::MetricExporter::builder()
            .with_tonic()
            .with_endpoint(format!("http://{otlp}"))
            .build()
            .map_err(|e| error(e.to_string()))?;
        builder = builder.with_periodic_exporter(exporter);
    }
    Ok(builder.build())
}

fn start_tracers(
    settings: &Settings,
    resource: Resource,
) -> Result<SdkTracerProvider, TelemetryError> {
    let telemetry = &settings.telemetry;
    let ratio = Sampler::TraceIdRatioBased(telemetry.trace_ratio);
    let sampler = Sampler::ParentBased(Box::new(ratio));
    let mut builder = SdkTracerProvider::builder().with_resource(resource).with_sampler(sampler);
    if let Some(otlp) = &telemetry.otlp {
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_tonic()
            .with_endpoint(format!("http://{otlp}"))
            .build()
            .map_err(|e| TelemetryError { step: "traces", cause: e.to_string() })?;
        builder = builder.with_batch_exporter(exporter);
    }
    Ok(builder.build())
}

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(http::HeaderName::as_str).collect()
    }
}

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        if let (Ok(name), Ok(value)) = (key.parse::<http::HeaderName>(), value.parse()) {
            self.0.insert(name, value);
        }
    }
}

/// Reads the trace context from a caller's header fields.
pub fn extract(headers: &HeaderMap) -> Context {
    TraceContextPropagator::new().extract_with_context(&Context::new(), &HeaderExtractor(headers))
}

/// Writes the trace context into the header fields of a request.
pub fn inject(context: &Context, headers: &mut HeaderMap) {
    TraceContextPropagator::new().inject_context(context, &mut HeaderInjector(headers));
}

/// Ends the span of a context with an outcome.
pub fn end_span(context: &Context, outcome: &'static str) {
    let span = context.span();
    span.set_attribute(KeyValue::new("outcome", outcome));
    span.end();
}
