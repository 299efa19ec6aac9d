//! Defines the steps of the scenario scripts and their arguments.

use goldenscript::Command;

/// A step of a script.
#[derive(Debug, Clone, Command)]
pub enum Step {
    /// Starts a cluster. Example: `start balancers=3 cotiza=2 cuadre=2`.
    Start {
        /// Number of balancers; 3 by default.
        #[arg(key)]
        balancers: Option<usize>,
        /// Number of targets of the service cotiza; 2 by default.
        #[arg(key)]
        cotiza: Option<usize>,
        /// Number of targets of the service cuadre; 2 by default, none of the service at 0.
        #[arg(key)]
        cuadre: Option<usize>,
        /// Number of slots of each target; 5 by default.
        #[arg(key)]
        slots: Option<usize>,
        /// Seed of the fabric's random choices.
        #[arg(key)]
        seed: Option<u64>,
        /// Continue as soon as all processes serve, without waiting for the rings to form. The agent that
        /// began a ring alone may not have passed its records on yet; its loss then leaves every key
        /// unknown.
        #[arg(key, optional)]
        forming: bool,
        /// Number of processes that watch the platform's store; 24 by default.
        #[arg(key)]
        watchers: Option<usize>,
        /// Fields of the setting `operation` of all services, as YAML.
        #[arg(key)]
        operation: Option<String>,
        /// Fields of the setting `limits` of all groups, as YAML.
        #[arg(key)]
        limits: Option<String>,
    },
    /// Makes requests one after another, each on a new flow, and prints their outcomes. Example:
    /// `ask cotiza 20`.
    Ask {
        /// Service.
        service: String,
        /// Number of requests.
        n: usize,
        /// Time that each request takes at the target, in milliseconds.
        #[arg(key)]
        ms: Option<u64>,
        /// Group that makes the requests; tellers by default.
        #[arg(key)]
        group: Option<String>,
    },
    /// Makes a request with an idempotency key. Example: `ask_key cotiza k1 ms=10`.
    AskKey {
        /// Service.
        service: String,
        /// Idempotency key.
        key: String,
        /// Time that the request takes at the target, in milliseconds.
        #[arg(key)]
        ms: Option<u64>,
        /// Deadline in milliseconds.
        #[arg(key)]
        deadline: Option<u64>,
        /// Number of concurrent requests with this key, each on its own flow; 1 by default.
        #[arg(key)]
        at_once: Option<usize>,
        /// Continue without waiting for the outcomes; the step `background` prints them.
        #[arg(key)]
        background: Option<bool>,
    },
    /// Prints how often requests with a key ran at all targets of a service together.
    Runs {
        /// Service.
        service: String,
        /// Idempotency key.
        key: String,
    },
    /// Makes many concurrent requests in the background. Example: `flood cotiza 300 group=screens ms=20`.
    Flood {
        /// Service.
        service: String,
        /// Number of requests.
        n: usize,
        /// Group that makes the requests.
        #[arg(key)]
        group: String,
        /// Time that each request takes at the target, in milliseconds.
        #[arg(key)]
        ms: u64,
    },
    /// Waits until all requests of the flood have ended and prints their outcomes.
    EndFlood,
    /// Opens a long feed. Example: `feed f1 cotiza`.
    Feed {
        /// Name of the feed.
        name: String,
        /// Service.
        service: String,
    },
    /// Ends a feed by closing its caller's flow.
    CloseFeed(String),
    /// Prints the state of all feeds as soon as each has ended or received 3 more ticks, or at the
    /// time limit.
    Feeds {
        /// Time limit in milliseconds; 20 s by default.
        #[arg(key)]
        within: Option<u64>,
    },
    /// Starts background traffic whose requests have idempotency keys. Example:
    /// `traffic t1 cotiza every=10`.
    Traffic {
        /// Name of the traffic.
        name: String,
        /// Service.
        service: String,
        /// Mean time between requests in milliseconds; 10 by default.
        #[arg(key)]
        every: Option<u64>,
        /// Time that each request takes at the target, in milliseconds.
        #[arg(key)]
        ms: Option<u64>,
    },
    /// Ends background traffic and prints the outcomes of its requests.
    EndTraffic {
        /// Name of the traffic.
        name: String,
        /// Leave out the counts of requests that were broken, not run, unknown or refused, as some may be.
        #[arg(key, optional)]
        some_refused: bool,
    },
    /// Kills the agent whose target is running a request. Example: `kill_running cotiza`.
    KillRunning(String),
    /// Kills the agent that began the ring of its service alone. Example: `kill_first cotiza`.
    KillFirst(String),
    /// Kills the agent whose target is running a request and restarts it at once.
    RestartRunning(String),
    /// Suspends the agent whose target is running a request.
    FreezeRunning(String),
    /// Resumes the agent that [`Step::FreezeRunning`] suspended last.
    ThawLast,
    /// Waits for the requests made in the background and prints their outcomes.
    Background,
    /// Kills a process.
    Kill(String),
    /// Suspends a process.
    Freeze(String),
    /// Resumes a suspended process.
    Thaw(String),
    /// Asks a process to stop gracefully, and waits until it ends.
    Stop(String),
    /// Waits until a process that was asked to stop ends.
    Wait(String),
    /// Asks a process to stop gracefully, and continues without waiting.
    Terminate(String),
    /// Restarts a process.
    Restart(String),
    /// Starts one more balancer.
    AddBalancer(String),
    /// Starts one more target and its agent. Example: `add_target cotiza 3`.
    AddTarget(String, usize),
    /// Makes the fabric send packets to these balancers only.
    Use(Vec<String>),
    /// Sets the probabilities, in thousandths, with which the fabric disturbs packets, and its delay.
    Fabric {
        /// Probability that a packet is lost.
        #[arg(key, optional)]
        lose: u32,
        /// Probability that a packet is delivered twice.
        #[arg(key, optional)]
        double: u32,
        /// Probability that a packet is overtaken by later ones.
        #[arg(key, optional)]
        cross: u32,
        /// Delay of each packet in each direction, in milliseconds.
        #[arg(key, optional)]
        delay: u64,
    },
    /// Sets the faults that the platform injects.
    Platform {
        /// Every call fails.
        #[arg(key, optional)]
        down: bool,
        /// Additional delay of every call, in milliseconds.
        #[arg(key, optional)]
        slow: u64,
        /// Number of writes that take effect but whose responses are lost.
        #[arg(key, optional)]
        lose: u32,
    },
    /// Sets how a target behaves.
    Target {
        /// Name of the target.
        name: String,
        /// Number of slots; 5 by default.
        #[arg(key)]
        slots: Option<usize>,
        /// The target refuses all new work.
        #[arg(key, optional)]
        draining: bool,
        /// The target's responses end early.
        #[arg(key, optional)]
        broken: bool,
    },
    /// Writes a settings node. Example: `set groups/new "tokens: []"`.
    Set {
        /// Path of the node.
        path: String,
        /// Text of the node, as YAML.
        text: String,
    },
    /// Writes a settings node with a long comment. Example: `set_long groups/new "tokens: []" 20000`.
    SetLong {
        /// Path of the node.
        path: String,
        /// Text of the node, as YAML.
        text: String,
        /// Length of the comment, in bytes.
        bytes: usize,
    },
    /// Runs `dillmillctl` and prints its exit code and output.
    Ctl(Vec<String>),
    /// Waits until the newest settings revision is in force on all processes.
    InForce,
    /// Waits until every process serves, sees all others as serving and has the newest settings.
    Settled,
    /// Waits until no other process gives new work to an agent. Example: `left cotiza-a1`.
    Left(String),
    /// Waits for a number of milliseconds. Example: `pause 200`.
    Pause(u64),
    /// Prints how many requests targets shed, and how many targets ever ran more requests at once than the
    /// slots that `start` sets.
    Slots,
    /// Prints how many requests arrived at a target of another service.
    WrongService,
    /// Prints whether a counter of a process is above zero.
    Counted {
        /// Name of the process.
        name: String,
        /// Name of the metric.
        metric: String,
    },
    /// Sends packets with foreign and forged connection ids to a service.
    Forge {
        /// Service.
        service: String,
        /// Number of packets.
        n: usize,
    },
}
