//! The steps of the test language.

use goldenscript::Command;

/// A step of a script.
#[derive(Debug, Clone, Command)]
pub enum Step {
    /// Starts a cluster. Example: `start balancers=3 cotiza=2 cuadre=2`.
    Start {
        /// Balancers.
        #[arg(key)]
        balancers: Option<usize>,
        /// Targets of cotiza.
        #[arg(key)]
        cotiza: Option<usize>,
        /// Targets of cuadre.
        #[arg(key)]
        cuadre: Option<usize>,
        /// Slots of each target.
        #[arg(key)]
        slots: Option<usize>,
        /// Seed of the fabric.
        #[arg(key)]
        seed: Option<u64>,
        /// Go on as soon as all serve, while rings still form: the agent that began a ring alone may not have passed
        /// its records on yet, and its loss then leaves every key unknown.
        #[arg(key, optional)]
        forming: bool,
        /// Processes that watch the platform.
        #[arg(key)]
        watchers: Option<usize>,
        /// Operation of all services, as YAML.
        #[arg(key)]
        operation: Option<String>,
        /// Limits of all groups, as YAML.
        #[arg(key)]
        limits: Option<String>,
    },
    /// Makes requests one after the other, each on a new flow. Example: `ask cotiza 20`.
    Ask {
        /// Service.
        service: String,
        /// Requests.
        n: usize,
        /// Time that each takes at the target.
        #[arg(key)]
        ms: Option<u64>,
        /// Group.
        #[arg(key)]
        group: Option<String>,
    },
    /// Makes one request with a key. Example: `ask_key cotiza k1 ms=10`.
    AskKey {
        /// Service.
        service: String,
        /// Key.
        key: String,
        /// Time that it takes at the target.
        #[arg(key)]
        ms: Option<u64>,
        /// Deadline.
        #[arg(key)]
        deadline: Option<u64>,
        /// Requests with this key at once, each on its own flow.
        #[arg(key)]
        at_once: Option<usize>,
        /// Print only whether the answer is true: whole, not run, or unknown.
        #[arg(key)]
        background: Option<bool>,
    },
    /// Prints how often a key ran, over all targets of a service.
    Runs {
        /// Service.
        service: String,
        /// Key.
        key: String,
    },
    /// Makes many requests at once in the background. Example: `flood cotiza 300 group=screens ms=20`.
    Flood {
        /// Service.
        service: String,
        /// Requests.
        n: usize,
        /// Group.
        #[arg(key)]
        group: String,
        /// Time that each takes at the target.
        #[arg(key)]
        ms: u64,
    },
    /// Waits for the end of the flood and prints what became of it.
    EndFlood,
    /// Opens a long feed. Example: `feed f1 cotiza`.
    Feed {
        /// Name.
        name: String,
        /// Service.
        service: String,
    },
    /// Ends a feed by closing its caller's flow.
    CloseFeed(String),
    /// Prints the state of all feeds once each got some more ticks, or did not in time.
    Feeds {
        /// Longest wait, in milliseconds.
        #[arg(key)]
        within: Option<u64>,
    },
    /// Starts traffic with keys in the background. Example: `traffic t1 cotiza every=10`.
    Traffic {
        /// Name.
        name: String,
        /// Service.
        service: String,
        /// Milliseconds between requests.
        #[arg(key)]
        every: Option<u64>,
        /// Time that each takes at the target.
        #[arg(key)]
        ms: Option<u64>,
    },
    /// Ends background traffic and prints what became of it.
    EndTraffic {
        /// Name.
        name: String,
        /// Print that some requests may be told "not run" or "unknown".
        #[arg(key, optional)]
        some_refused: bool,
    },
    /// Ends the agent whose target is running a request. Example: `kill_running cotiza`.
    KillRunning(String),
    /// Ends the agent that was alone in the ring of its service at first. Example: `kill_first cotiza`.
    KillFirst(String),
    /// Ends the agent whose target is running a request and starts it again at once.
    RestartRunning(String),
    /// Freezes the agent whose target is running a request.
    FreezeRunning(String),
    /// Lets the agent that was frozen last go on.
    ThawLast,
    /// Prints what became of the requests made in the background.
    Background,
    /// Ends a process without warning.
    Kill(String),
    /// Freezes a process.
    Freeze(String),
    /// Lets a frozen process go on.
    Thaw(String),
    /// Stops a process as planned and waits for its end.
    Stop(String),
    /// Waits for the end of a process that was asked to stop.
    Wait(String),
    /// Asks a process to stop as planned and goes on.
    Terminate(String),
    /// Starts a process again.
    Restart(String),
    /// Adds a balancer.
    AddBalancer(String),
    /// Adds a target and its agent. Example: `add_target cotiza 3`.
    AddTarget(String, usize),
    /// Lets the fabric use only these balancers.
    Use(Vec<String>),
    /// Sets what the fabric does to packets, in thousandths.
    Fabric {
        /// Lost.
        #[arg(key, optional)]
        lose: u32,
        /// Delivered twice.
        #[arg(key, optional)]
        double: u32,
        /// Overtaken.
        #[arg(key, optional)]
        cross: u32,
        /// Delay in milliseconds.
        #[arg(key, optional)]
        delay: u64,
    },
    /// Sets the platform's faults.
    Platform {
        /// Every call fails.
        #[arg(key, optional)]
        down: bool,
        /// Every call takes this much longer.
        #[arg(key, optional)]
        slow: u64,
        /// Writes that take effect without an answer.
        #[arg(key, optional)]
        lose: u32,
    },
    /// Sets how a target behaves.
    Target {
        /// Name.
        name: String,
        /// Slots.
        #[arg(key)]
        slots: Option<usize>,
        /// It sheds everything.
        #[arg(key, optional)]
        draining: bool,
        /// Its answers break off.
        #[arg(key, optional)]
        broken: bool,
    },
    /// Writes a node. Example: `set groups/new "tokens: []"`.
    Set {
        /// Node.
        path: String,
        /// YAML.
        text: String,
    },
    /// Writes a node with a long comment. Example: `set_long groups/new "tokens: []" 20000`.
    SetLong {
        /// Node.
        path: String,
        /// YAML.
        text: String,
        /// Length of the comment, in bytes.
        bytes: usize,
    },
    /// Runs `dillmillctl` and prints its exit code and output.
    Ctl(Vec<String>),
    /// Waits until the newest revision is in force everywhere.
    InForce,
    /// Waits until every process serves and knows all others.
    Settled,
    /// Waits until no process takes new work for an agent. Example: `left cotiza-a1`.
    Left(String),
    /// Lets time pass. Example: `pause 200`.
    Pause(u64),
    /// Prints whether a target's slots were ever overrun.
    Slots,
    /// Prints whether any target got a request of another service.
    WrongService,
    /// Prints whether a counter of a process is above zero.
    Counted {
        /// Process.
        name: String,
        /// Metric.
        metric: String,
    },
    /// Sends packets with foreign and forged connection ids to a service.
    Forge {
        /// Service.
        service: String,
        /// Packets.
        n: usize,
    },
}
