//! Describes the processes, services and groups of a cluster.

/// A service of a cluster and its targets.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Number of targets, each with its own agent.
    pub targets: usize,
    /// Slots of each target.
    pub slots: usize,
    /// YAML lines appended to the service's settings node.
    pub extra: String,
}

impl ServiceSpec {
    /// Creates a service without additional settings.
    #[must_use]
    pub fn new(name: &str, targets: usize, slots: usize) -> Self {
        Self { name: name.to_owned(), targets, slots, extra: String::new() }
    }

    /// Sets the YAML lines that are appended to the service's settings node.
    #[must_use]
    pub fn extra(mut self, lines: &str) -> Self {
        lines.clone_into(&mut self.extra);
        self
    }
}

/// The processes, services and groups of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Number of balancers.
    pub balancers: usize,
    /// Services with their targets.
    pub services: Vec<ServiceSpec>,
    /// Groups with their weights; the token of group `g` is `token-g`.
    pub groups: Vec<(String, u16)>,
    /// YAML lines appended to the root settings node.
    pub root_extra: String,
    /// Seed of the fabric's random choices.
    pub seed: u64,
    /// Minimum level of the processes' logs.
    pub log: String,
    /// Number of processes that watch the platform's store.
    pub watchers: usize,
}

impl Default for ClusterSpec {
    fn default() -> Self {
        Self {
            balancers: 3,
            services: vec![ServiceSpec::new("cotiza", 2, 5), ServiceSpec::new("cuadre", 2, 5)],
            groups: vec![("tellers".to_owned(), 10), ("screens".to_owned(), 10)],
            root_extra: String::new(),
            seed: 1,
            log: "info".to_owned(),
            watchers: 24,
        }
    }
}
