//! What a cluster consists of.

/// A service of a cluster.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Targets, each with an agent.
    pub targets: usize,
    /// Slots of each target.
    pub slots: usize,
    /// Further lines of the service's node.
    pub extra: String,
}

impl ServiceSpec {
    /// Creates a service.
    #[must_use]
    pub fn new(name: &str, targets: usize, slots: usize) -> Self {
        Self { name: name.to_owned(), targets, slots, extra: String::new() }
    }

    /// Adds lines to the service's node.
    #[must_use]
    pub fn extra(mut self, lines: &str) -> Self {
        lines.clone_into(&mut self.extra);
        self
    }
}

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Balancers.
    pub balancers: usize,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Groups with their weights; the token of group `g` is `token-g`.
    pub groups: Vec<(String, u16)>,
    /// Further lines of the root node.
    pub root_extra: String,
    /// Seed of the fabric's choices.
    pub seed: u64,
    /// Least level that processes log.
    pub log: String,
    /// Processes that watch the platform.
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
