//! Command line of agatestand. Doc comments of commands and flags are their help texts.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Simulations of the systems that agateroute depends on, and tools for loads and experiments.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Run simulated model engines, one per address
    #[bpaf(command)]
    Engine {
        #[bpaf(external(engine_flags))]
        flags: EngineFlags,
        /// Addresses to listen on
        #[bpaf(positional("IP:PORT"), some("an address is missing"))]
        listen: Vec<String>,
    },
    /// Run simulated plain services, one per address
    #[bpaf(command)]
    Service {
        /// Time of a call, in milliseconds
        #[bpaf(long, argument("MS"), fallback(5), display_fallback)]
        time: u64,
        /// Maximum number of concurrent calls
        #[bpaf(long, argument("N"), fallback(16), display_fallback)]
        workers: usize,
        /// Refuse stale fencing numbers
        #[bpaf(long)]
        fenced: bool,
        /// Addresses to listen on
        #[bpaf(positional("IP:PORT"), some("an address is missing"))]
        listen: Vec<String>,
    },
    /// Run the simulated platform on one address
    #[bpaf(command)]
    Platform {
        /// Maximum number of writes per second
        #[bpaf(long, argument("N"), fallback(400), display_fallback)]
        writes: u32,
        /// Maximum number of reads per second
        #[bpaf(long, argument("N"), fallback(2000), display_fallback)]
        reads: u32,
        /// Address to listen on
        #[bpaf(positional("IP:PORT"))]
        listen: String,
    },
    /// Run all backend servers of a document, and the platform, in one process
    #[bpaf(command)]
    Fleet {
        #[bpaf(external(engine_flags))]
        flags: EngineFlags,
        /// Address of the platform
        #[bpaf(long, argument("IP:PORT"))]
        platform: Option<String>,
        /// Configuration document
        #[bpaf(positional("FILE"))]
        document: PathBuf,
    },
    /// Send a load and print its results
    #[bpaf(command)]
    Load {
        /// Addresses of agateroute instances
        #[bpaf(long("target"), argument("IP:PORT"), some("a target is missing"))]
        targets: Vec<String>,
        /// Addresses of engines whose preemptions are counted
        #[bpaf(long("engine"), argument("IP:PORT"), many)]
        engines: Vec<String>,
        /// Print JSON instead of a table
        #[bpaf(long)]
        json: bool,
        /// Description of the load, in YAML
        #[bpaf(positional("FILE"))]
        spec: PathBuf,
    },
    /// Measure the overhead of agateroute: directly to an engine and through an instance, in one run
    #[bpaf(command)]
    Bench {
        /// Address of the engine
        #[bpaf(long, argument("IP:PORT"))]
        engine: String,
        /// Address of the instance
        #[bpaf(long, argument("IP:PORT"))]
        target: String,
        /// Process of the instance, whose processor time and memory are read
        #[bpaf(long, argument("PID"))]
        pid: Option<u32>,
        /// API key of an organisation
        #[bpaf(long, argument("KEY"))]
        key: String,
        /// Name of the model
        #[bpaf(long, argument("NAME"))]
        model: String,
        /// Number of concurrent streams
        #[bpaf(long, argument("N"), fallback(64), display_fallback)]
        streams: usize,
        /// Number of requests per measurement
        #[bpaf(long, argument("N"), fallback(2000), display_fallback)]
        requests: usize,
        /// Maximum number of generated tokens per request
        #[bpaf(long, argument("N"), fallback(64), display_fallback)]
        tokens: u64,
    },
    /// Run a case of the experiment with each baseline and through agateroute
    #[bpaf(command)]
    Compare {
        /// Document that lists the backend servers
        #[bpaf(long, argument("FILE"))]
        document: PathBuf,
        /// Addresses of agateroute instances
        #[bpaf(long("target"), argument("IP:PORT"), some("a target is missing"))]
        targets: Vec<String>,
        /// Generations per second that use 80 percent of the capacity
        #[bpaf(long, argument("N"), fallback(30.0), display_fallback)]
        rate: f64,
        /// Duration of the arrivals, in seconds
        #[bpaf(long, argument("S"), fallback(30.0), display_fallback)]
        seconds: f64,
        /// Seed of the arrivals
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Slots per server of a baseline with fixed slots
        #[bpaf(long("slots"), argument("N"), many)]
        slots: Vec<usize>,
        /// Crash one engine and reclaim another in the middle of each run
        #[bpaf(long)]
        crash: bool,
        /// Skip the baselines
        #[bpaf(long)]
        alone: bool,
        /// steady, deferrable-flood, urgent-flood or greedy-organisations
        #[bpaf(positional("CASE"))]
        case: String,
    },
    /// Measure the resources of running instances, as one row of a table
    #[bpaf(command)]
    Slopes {
        /// Label of the row
        #[bpaf(long, argument("TEXT"))]
        label: String,
        /// Processes of the instances
        #[bpaf(long("pid"), argument("PID"), many)]
        pids: Vec<u32>,
        /// Ops addresses of the instances
        #[bpaf(long, argument("IP:PORT"), many)]
        ops: Vec<String>,
        /// Address of the platform
        #[bpaf(long, argument("IP:PORT"))]
        platform: Option<String>,
        /// Duration of the measurement, in seconds
        #[bpaf(long, argument("S"), fallback(5.0), display_fallback)]
        seconds: f64,
        /// Print the header of the table first
        #[bpaf(long)]
        head: bool,
    },
    /// Measure the time until a configuration change is in force on all instances
    #[bpaf(command)]
    Propagate {
        /// Address of the platform
        #[bpaf(long, argument("IP:PORT"))]
        platform: String,
        /// Ops addresses of the instances
        #[bpaf(long, argument("IP:PORT"), some("an ops address is missing"))]
        ops: Vec<String>,
        /// Number of changes
        #[bpaf(long, argument("N"), fallback(200), display_fallback)]
        changes: u64,
        /// Start an outage of the platform every N changes, once one instance has the change
        #[bpaf(long, argument("N"))]
        outage_each: Option<u64>,
        /// Configuration document
        #[bpaf(positional("FILE"))]
        document: PathBuf,
    },
    /// Run instances on a simulated platform and inject random faults, once for each seed
    #[bpaf(command)]
    Soak {
        /// Path of the agaterouted program
        #[bpaf(long, argument("FILE"), fallback(PathBuf::from("target/release/agaterouted")))]
        program: PathBuf,
        /// First seed; random by default
        #[bpaf(long, argument("N"))]
        seed: Option<u64>,
        /// Number of consecutive seeds
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seeds: u64,
        /// Number of seeds run at the same time
        #[bpaf(long, argument("N"), fallback(2), display_fallback)]
        jobs: usize,
        /// Time of fault injection per seed, in seconds
        #[bpaf(long, argument("S"), fallback(15.0), display_fallback)]
        seconds: f64,
        /// Number of instances
        #[bpaf(long, argument("N"), fallback(4), display_fallback)]
        instances: usize,
        /// Number of plain servers
        #[bpaf(long, argument("N"), fallback(3), display_fallback)]
        ledgers: usize,
        /// Number of model servers
        #[bpaf(long, argument("N"), fallback(5), display_fallback)]
        writers: usize,
        /// Number of callers
        #[bpaf(long, argument("N"), fallback(16), display_fallback)]
        callers: u64,
        /// Directory for the instance logs of seeds with violations
        #[bpaf(long, argument("DIR"))]
        logs: Option<PathBuf>,
    },
    /// Print a generated document, for measurements
    #[bpaf(command)]
    Document {
        /// Number of organisations
        #[bpaf(long, argument("N"), fallback(10), display_fallback)]
        organisations: u32,
        /// Number of engines
        #[bpaf(long, argument("N"), fallback(12), display_fallback)]
        engines: u32,
        /// Number of models
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        models: u32,
    },
    /// Demonstrate the API: stream a reading, make an order twice, and make a lookup
    #[bpaf(command)]
    Tour {
        /// Address of an instance
        #[bpaf(long, argument("IP:PORT"))]
        target: String,
        /// API key of an organisation
        #[bpaf(long, argument("KEY"))]
        key: String,
    },
}

/// Parameters of simulated engines and services.
#[derive(Bpaf, Clone, Debug)]
pub struct EngineFlags {
    /// Memory of an engine, in tokens, unless a document gives it
    #[bpaf(long, argument("TOKENS"), fallback(16000), display_fallback)]
    pub memory: u64,
    /// Maximum batch size, unless a document gives it
    #[bpaf(long, argument("N"), fallback(32), display_fallback)]
    pub batch: usize,
    /// Time of a step with an empty batch, in microseconds
    #[bpaf(long, argument("US"), fallback(5000), display_fallback)]
    pub step: u64,
    /// Time that each generation adds to a step, in microseconds
    #[bpaf(long, argument("US"), fallback(100), display_fallback)]
    pub step_each: u64,
    /// Time of a call of a plain service, in milliseconds
    #[bpaf(long, argument("MS"), fallback(5), display_fallback)]
    pub service_time: u64,
    /// Maximum number of concurrent calls of a plain service
    #[bpaf(long, argument("N"), fallback(16), display_fallback)]
    pub service_workers: usize,
    /// Age of load reports, in milliseconds
    #[bpaf(long, argument("MS"), fallback(500), display_fallback)]
    pub lag: u64,
    /// Median output length, in tokens
    #[bpaf(long, argument("TOKENS"), fallback(100.0), display_fallback)]
    pub median: f64,
    /// Standard deviation of the logarithm of output lengths
    #[bpaf(long, argument("SIGMA"), fallback(1.0), display_fallback)]
    pub deviation: f64,
    /// Seed of the output lengths
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Generate words instead of checkable tokens
    #[bpaf(long)]
    pub words: bool,
    /// Crash when a prompt contains this text
    #[bpaf(long, argument("TEXT"))]
    pub poison: Option<String>,
    /// Refuse stale fencing numbers
    #[bpaf(long)]
    pub fenced_engines: bool,
}
