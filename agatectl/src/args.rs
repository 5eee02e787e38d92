//! Command line of agatectl. Doc comments of commands and flags are their help texts.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Checks, applies and shows the configuration of a deployment, and shows the state of its instances.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Work with the configuration document
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Show the status of instances: version, peers, backend servers, wanted and loaded models
    #[bpaf(command)]
    Status {
        /// Print JSON instead of text
        #[bpaf(long)]
        json: bool,
        /// Ops addresses of the instances
        #[bpaf(positional("IP:PORT"), some("an ops address is missing"))]
        instances: Vec<String>,
    },
    /// Work with the records of non-repeatable calls
    #[bpaf(command)]
    Calls(#[bpaf(external(calls_command))] CallsCommand),
    /// Write the report of one day as an HTML page
    #[bpaf(command)]
    Report {
        /// Day of the report, as YYYY-MM-DD in UTC
        #[bpaf(long, argument("DAY"))]
        day: String,
        /// Output file
        #[bpaf(long, argument("FILE"))]
        out: PathBuf,
        /// Ops address of an instance
        #[bpaf(positional("IP:PORT"))]
        instance: String,
    },
    /// Write the man page of this tool
    #[bpaf(command, hide)]
    Man,
}

/// Subcommands of `agatectl config`.
#[derive(Bpaf, Clone, Debug)]
pub enum ConfigCommand {
    /// Check a document and report all its problems, entries without effect and limits that contradict each other
    #[bpaf(command)]
    Check(#[bpaf(external(check_flags))] CheckFlags),
    /// Show the document of a version, by default the current one
    #[bpaf(command)]
    Show {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// Version to show
        #[bpaf(long, argument("N"))]
        version: Option<u64>,
    },
    /// Show the difference between the current document and a file
    #[bpaf(command)]
    Diff {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// File to compare
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a document as the next version
    #[bpaf(command)]
    Apply {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// Version that the change is based on, 0 for the first
        #[bpaf(long, argument("VERSION"))]
        base: u64,
        /// Identifier of the apply; after a lost answer, repeat the command with the same one
        #[bpaf(long, argument("ID"))]
        apply_id: Option<String>,
        /// Name of the person or system that applies the document
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        by: String,
        /// File to apply
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List the versions
    #[bpaf(command)]
    History {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// List versions after this one
        #[bpaf(long, argument("VERSION"), fallback(0))]
        after: u64,
        /// Maximum number of versions to list
        #[bpaf(long, argument("N"), fallback(100))]
        limit: usize,
    },
    /// Print the JSON Schema of the document
    #[bpaf(command)]
    Schema {
        /// Print the schema of instance settings instead
        #[bpaf(long)]
        settings: bool,
    },
    /// Print the reference page of all keys
    #[bpaf(command)]
    Reference,
}

/// Flags of `agatectl config check`.
#[derive(Bpaf, Clone, Debug)]
pub struct CheckFlags {
    /// Check instance settings instead of a document
    #[bpaf(long)]
    pub settings: bool,
    /// Fail on warnings too
    #[bpaf(long)]
    pub strict: bool,
    /// Print JSON instead of text
    #[bpaf(long)]
    pub json: bool,
    /// Settings of an instance that will serve the document, for limits that depend on its memory
    #[bpaf(long, argument("SETTINGS"))]
    pub instance: Vec<PathBuf>,
    /// Show what differs from another document file, or from the version in force if the word `current` is given
    #[bpaf(long, argument("FILE"))]
    pub against: Option<PathBuf>,
    #[bpaf(external(platform_flags), optional)]
    pub platform: Option<PlatformFlags>,
    /// File to check
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Subcommands of `agatectl calls`.
#[derive(Bpaf, Clone, Debug)]
pub enum CallsCommand {
    /// List calls whose outcome is open or unknown
    #[bpaf(command)]
    List {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// List settled calls too
        #[bpaf(long)]
        all: bool,
    },
    /// Show the record of one call
    #[bpaf(command)]
    Show {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// Row of the call, as printed by `calls list`
        #[bpaf(positional("ROW"))]
        row: String,
    },
    /// Settle a call whose outcome is unknown, once the backend servers show what happened
    #[bpaf(command)]
    Resolve {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// The call was not run: a repeat may run it
        #[bpaf(long)]
        not_run: bool,
        /// The call was run: a repeat gets this text as its answer
        #[bpaf(long, argument("TEXT"))]
        answer: Option<String>,
        /// Row of the call, as printed by `calls list`
        #[bpaf(positional("ROW"))]
        row: String,
    },
}

/// Addresses of the platform services, and the timeout of requests to them.
#[derive(Bpaf, Clone, Debug)]
pub struct PlatformFlags {
    /// Address of the table service
    #[bpaf(long, env("AGATEROUTE_TABLE"), argument("IP:PORT"))]
    pub table: String,
    /// Address of the object store
    #[bpaf(long, env("AGATEROUTE_OBJECTS"), argument("IP:PORT"))]
    pub objects: String,
    /// Timeout of each request to the platform, in milliseconds
    #[bpaf(long, argument("MS"), fallback(3000))]
    pub timeout: u64,
}
