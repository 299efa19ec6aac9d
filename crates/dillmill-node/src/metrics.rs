//! Metrics that every process exports; each role adds its own to the same registry.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::{NodeError, Traffic};

/// The registry of a process and the metrics of its control task.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Settings revision in force.
    pub revision: IntGauge,
    /// Number of data centres that get no new flows.
    pub evacuated: IntGauge,
    /// Number of known processes that are not down.
    pub members: IntGauge,
    /// Bytes of control datagrams sent.
    pub control_sent: IntCounter,
    /// Bytes of control datagrams received.
    pub control_received: IntCounter,
    /// Control datagrams received without a valid authentication tag.
    pub control_forged: IntCounter,
    /// Failed calls to the platform.
    pub platform_errors: IntCounter,
    /// Checks with the platform's store that the settings are the newest.
    pub store_checks: IntCounter,
    /// Entries of the platform's store that could not be used.
    pub platform_unreadable: IntCounter,
    /// Synchronisations requested from peers.
    pub syncs_asked: IntCounter,
    /// Synchronisations answered for peers.
    pub syncs_answered: IntCounter,
    /// Synchronisations refused because too many were running at once.
    pub syncs_refused: IntCounter,
    /// Changes of member records, learned from peers or made by this process.
    pub record_changes: IntCounter,
    /// Views published to the other tasks.
    pub views: IntCounter,
    /// Number of open flows.
    pub flows: IntGauge,
    /// Bytes on the VM's link by kind of content.
    pub traffic: Traffic,
}

impl Metrics {
    /// Creates the registry and registers the metrics of the control task.
    ///
    /// # Errors
    ///
    /// Fails if a metric's name is already registered.
    pub fn new() -> Result<Self, NodeError> {
        let registry = Registry::new();
        let metrics = Self {
            revision: gauge(&registry, "dillmill_settings_revision", "Settings revision in force")?,
            evacuated: gauge(
                &registry,
                "dillmill_evacuated_data_centres",
                "Data centres that are to get no new flows",
            )?,
            members: gauge(&registry, "dillmill_members", "Processes known and not down")?,
            control_sent: counter(&registry, "dillmill_control_sent_bytes", "Control bytes sent")?,
            control_received: counter(
                &registry,
                "dillmill_control_received_bytes",
                "Control bytes received",
            )?,
            control_forged: counter(
                &registry,
                "dillmill_control_forged",
                "Control datagrams without a valid tag",
            )?,
            platform_errors: counter(
                &registry,
                "dillmill_platform_errors",
                "Failed calls to the platform",
            )?,
            store_checks: counter(
                &registry,
                "dillmill_store_checks",
                "Checks with the platform's store that the settings are the newest",
            )?,
            platform_unreadable: counter(
                &registry,
                "dillmill_platform_unreadable",
                "Entries of the platform's store that could not be used",
            )?,
            syncs_asked: counter(
                &registry,
                "dillmill_syncs_asked",
                "Comparisons of records asked of peers",
            )?,
            syncs_answered: counter(
                &registry,
                "dillmill_syncs_answered",
                "Comparisons of records answered to peers",
            )?,
            syncs_refused: counter(
                &registry,
                "dillmill_syncs_refused",
                "Peers turned away, as too many compared their records",
            )?,
            record_changes: counter(
                &registry,
                "dillmill_record_changes",
                "Changes of members' records, taken in or made",
            )?,
            views: counter(&registry, "dillmill_views", "Views shown to the other tasks")?,
            flows: gauge(&registry, "dillmill_flows", "Open flows")?,
            traffic: Traffic::new(&registry)?,
            registry,
        };
        Ok(metrics)
    }

    /// Registers a counter.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, NodeError> {
        counter(&self.registry, name, help)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, NodeError> {
        gauge(&self.registry, name, help)
    }

    /// Registers one counter for each of `values`, which its label `label` has.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        label: &str,
        values: &[&str],
    ) -> Result<Vec<IntCounter>, NodeError> {
        let error = |e: prometheus::Error| NodeError::new("register metric", name, e);
        let family = IntCounterVec::new(Opts::new(name, help), &[label]).map_err(error)?;
        self.registry.register(Box::new(family.clone())).map_err(error)?;
        Ok(values.iter().map(|value| family.with_label_values(&[value])).collect())
    }

    /// Registers one gauge for each of `values`, which its label `label` has.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered.
    pub fn gauges(
        &self,
        name: &str,
        help: &str,
        label: &str,
        values: &[&str],
    ) -> Result<Vec<IntGauge>, NodeError> {
        let error = |e: prometheus::Error| NodeError::new("register metric", name, e);
        let family = IntGaugeVec::new(Opts::new(name, help), &[label]).map_err(error)?;
        self.registry.register(Box::new(family.clone())).map_err(error)?;
        Ok(values.iter().map(|value| family.with_label_values(&[value])).collect())
    }

    /// Registers a histogram whose buckets have the upper bounds `bounds`.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered or the bounds are not ascending.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
    ) -> Result<Histogram, NodeError> {
        let error = |e: prometheus::Error| NodeError::new("register metric", name, e);
        let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let metric = Histogram::with_opts(opts).map_err(error)?;
        self.registry.register(Box::new(metric.clone())).map_err(error)?;
        Ok(metric)
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, NodeError> {
    let error = |e: prometheus::Error| NodeError::new("register metric", name, e);
    let metric = IntCounter::with_opts(Opts::new(name, help)).map_err(error)?;
    registry.register(Box::new(metric.clone())).map_err(error)?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, NodeError> {
    let error = |e: prometheus::Error| NodeError::new("register metric", name, e);
    let metric = IntGauge::with_opts(Opts::new(name, help)).map_err(error)?;
    registry.register(Box::new(metric.clone())).map_err(error)?;
    Ok(metric)
}
