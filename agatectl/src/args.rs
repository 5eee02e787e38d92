//! The command line of the tool.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Checks, applies and shows the configuration of a deployment, and shows what it does.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// The declared document
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Show what instances see: versions, peers, backend servers, wanted beside found
    #[bpaf(command)]
    Status {
        /// Write JSON instead of text
        #[bpaf(long)]
        json: bool,
        /// The ops addresses of instances
        #[bpaf(positional("IP:PORT"), some("an ops address is missing"))]
        instances: Vec<String>,
    },
    /// Calls that may not be repeated
    #[bpaf(command)]
    Calls(#[bpaf(external(calls_command))] CallsCommand),
    /// Write the report of a day as an HTML page
    #[bpaf(command)]
    Report {
        /// The day, as YYYY-MM-DD in UTC
        #[bpaf(long, argument("DAY"))]
        day: String,
        /// Where the page is written
        #[bpaf(long, argument("FILE"))]
        out: PathBuf,
        /// The ops address of an instance
        #[bpaf(positional("IP:PORT"))]
        instance: String,
    },
    /// Write the man page of this tool
    #[bpaf(command, hide)]
    Man,
}

/// Commands on the document.
#[derive(Bpaf, Clone, Debug)]
pub enum ConfigCommand {
    /// Check a document and report every problem at once
    #[bpaf(command)]
    Check {
        /// Check instance settings instead of a document
        #[bpaf(long)]
        settings: bool,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the document of a version, by default the one in force
    #[bpaf(command)]
    Show {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// The version
        #[bpaf(long, argument("N"))]
        version: Option<u64>,
    },
    /// Show what a file would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Bring a document into force
    #[bpaf(command)]
    Apply {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// The version that the change is based on, 0 for the first
        #[bpaf(long, argument("VERSION"))]
        base: u64,
        /// Settles an apply whose answer was lost: repeat it with the same id
        #[bpaf(long, argument("ID"))]
        apply_id: Option<String>,
        /// Who applies it
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        by: String,
        /// The file
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
        /// The most versions to list
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
    /// Print the reference page of every key
    #[bpaf(command)]
    Reference,
}

/// Commands on calls that may not be repeated.
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
    /// Show the record of a call
    #[bpaf(command)]
    Show {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// The row, as `calls list` prints it
        #[bpaf(positional("ROW"))]
        row: String,
    },
    /// Settle a call whose outcome is unknown, after looking at the backend servers
    #[bpaf(command)]
    Resolve {
        #[bpaf(external(platform_flags))]
        platform: PlatformFlags,
        /// It was not run: a repeat may run it
        #[bpaf(long)]
        not_run: bool,
        /// It was run: a repeat is answered with this text
        #[bpaf(long, argument("TEXT"))]
        answer: Option<String>,
        /// The row, as `calls list` prints it
        #[bpaf(positional("ROW"))]
        row: String,
    },
}

/// Where the platform is.
#[derive(Bpaf, Clone, Debug)]
pub struct PlatformFlags {
    /// The table service
    #[bpaf(long, env("AGATEROUTE_TABLE"), argument("IP:PORT"))]
    pub table: String,
    /// The object store
    #[bpaf(long, env("AGATEROUTE_OBJECTS"), argument("IP:PORT"))]
    pub objects: String,
    /// How long the platform may take for one answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(3000))]
    pub timeout: u64,
}
