//! Command line interface.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use self::check_config::ConfigurationSource;

pub mod check_config;
pub mod ctl;
pub mod explain;
pub mod load;
pub mod progress;
pub mod report;
pub mod report_page;

/// Output format of `ctl` and `explain`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// JSON, for programs.
    Json,
    /// Aligned columns, for people.
    #[default]
    Table,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "json" => Ok(Self::Json),
            "table" => Ok(Self::Table),
            _ => Err(format!(
                "unknown output format `{text}`: expected table or json"
            )),
        }
    }
}

/// Scheduler for agent programs.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs a scheduler host until it is stopped.
    ///
    /// Example: chicoryarch serve --config /etc/chicoryarch.toml
    #[bpaf(command("serve"))]
    Serve {
        /// Settings file
        #[bpaf(long("config"), argument("FILE"))]
        config: PathBuf,
    },
    /// Checks a settings file of the users' platform and prints the settings.
    #[bpaf(command("check-platform"))]
    CheckPlatform {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Runs a gateway on the users' platform until it is stopped.
    ///
    /// An environment variable holds the path of the platform's settings file.
    #[bpaf(command("gateway"))]
    Gateway,
    /// Writes the audit trail to disk on an archive host of the users' platform.
    #[bpaf(command("archive"))]
    Archive,
    /// Checks a settings file and prints its errors.
    ///
    /// Example: chicoryarch check /etc/chicoryarch.toml
    #[bpaf(command("check"))]
    Check {
        /// Settings file
        #[bpaf(positional("FILE"))]
        config: PathBuf,
    },
    /// Checks an operators' configuration before it is sent.
    ///
    /// Exits with 1 if there are warnings and with 2 if there are errors.
    /// Example: chicoryarch check-config next.json --in-force 10.1.0.7:8081
    #[bpaf(command("check-config"))]
    CheckConfig {
        /// Configuration in force, to print what differs from it: a file, or the
        /// readiness address of an entry host that has it
        #[bpaf(long("in-force"), argument("FILE|ADDR"), optional)]
        in_force: Option<ConfigurationSource>,
        /// Platform's settings file of a host, to look for the allowed regions in
        #[bpaf(long("settings"), argument("FILE"), optional)]
        settings: Option<PathBuf>,
        /// Output format: table or json
        #[bpaf(long("output"), argument("FORM"), fallback(OutputFormat::Table))]
        output: OutputFormat,
        /// Configuration as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Runs a development host with its own platform, model engine and service.
    ///
    /// Everything runs in one process and no state is stored. Prints a `curl`
    /// command to try.
    #[bpaf(command("dev"))]
    Dev {
        /// Port for callers; 0 picks a free port
        #[bpaf(long("port"), argument("PORT"), fallback(8080))]
        port: u16,
    },
    /// Sends a seeded load of programs to running hosts and prints the result.
    ///
    /// Example: chicoryarch load --plan plan.toml --output before.json
    #[bpaf(command("load"))]
    Load {
        /// Load plan in TOML
        #[bpaf(long("plan"), argument("FILE"))]
        plan: PathBuf,
        /// File to write the result to, as JSON
        #[bpaf(long("output"), argument("FILE"), optional)]
        output: Option<PathBuf>,
    },
    /// Prints two results of `load` side by side.
    ///
    /// Example: chicoryarch compare before.json after.json
    #[bpaf(command("compare"))]
    Compare {
        /// Result of a run before a change
        #[bpaf(positional("BEFORE"))]
        before: PathBuf,
        /// Result of a run after the change
        #[bpaf(positional("AFTER"))]
        after: PathBuf,
    },
    /// Prints the path of a request or program through the hosts, from their logs.
    ///
    /// For each host on the path: its log lines, and the age of what it knew.
    /// Example: chicoryarch explain 9c41d07be2a35f68 logs/
    #[bpaf(command("explain"))]
    Explain {
        /// Output format: table or json
        #[bpaf(long("output"), argument("FORM"), fallback(OutputFormat::Table))]
        output: OutputFormat,
        /// Id of the request or program
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files of the hosts, or folders of them
        #[bpaf(positional("FILE"), some("at least one log file is required"))]
        files: Vec<PathBuf>,
    },
    /// Prints a summary of the logs of many hosts over time.
    ///
    /// Example: chicoryarch report logs/ --html report.html
    #[bpaf(command("report"))]
    Report {
        /// File to write a page with plots to
        #[bpaf(long("html"), argument("FILE"), optional)]
        html: Option<PathBuf>,
        /// Folder of logs, a log file, or - for standard input
        #[bpaf(positional("DIR"), some("a folder of logs is required"))]
        logs: Vec<PathBuf>,
    },
    /// Sends a query or command to a host and prints the answer.
    ///
    /// Example: chicoryarch ctl --address 127.0.0.1:8082 --secret-file ops show hosts
    #[bpaf(command("ctl"))]
    Ctl {
        /// Operator address of any host
        #[bpaf(long("address"), argument("ADDR"))]
        address: SocketAddr,
        /// File with the operator secret
        #[bpaf(long("secret-file"), argument("FILE"))]
        secret_file: PathBuf,
        /// Output format: table or json
        #[bpaf(long("output"), argument("FORM"), fallback(OutputFormat::Table))]
        output: OutputFormat,
        /// Query or command
        #[bpaf(positional("TEXT"), some("a query or command is required"))]
        text: Vec<String>,
    },
}
