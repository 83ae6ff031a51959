//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

pub mod ctl;
pub mod explain;
pub mod load;

/// Form in which answers are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Output {
    /// JSON, for programs.
    Json,
    /// Aligned columns, for people.
    #[default]
    Table,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "json" => Ok(Self::Json),
            "table" => Ok(Self::Table),
            _ => Err(format!(
                "`{text}` is not an output: table or json is expected"
            )),
        }
    }
}

/// A subcommand with its options.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs a host of the scheduler until it is told to stop.
    ///
    /// Example: chicoryarch serve --config /etc/chicoryarch.toml
    #[bpaf(command("serve"))]
    Serve {
        /// Settings file
        #[bpaf(long("config"), argument("FILE"))]
        config: PathBuf,
    },
    /// Checks a settings file of the users' platform and prints what holds.
    #[bpaf(command("check-platform"))]
    CheckPlatform {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Serves callers on the users' platform until it is told to stop.
    ///
    /// The platform's settings file is named by an environment variable.
    #[bpaf(command("gateway"))]
    Gateway,
    /// Keeps the audit trail on a host with a disk of the users' platform.
    #[bpaf(command("archive"))]
    Archive,
    /// Checks a settings file and prints what is wrong with it.
    ///
    /// Example: chicoryarch check /etc/chicoryarch.toml
    #[bpaf(command("check"))]
    Check {
        /// Settings file
        #[bpaf(positional("FILE"))]
        config: PathBuf,
    },
    /// Runs a host with a platform, a model engine and a service of its own.
    ///
    /// Everything is in one process and nothing is kept. It prints a `curl`
    /// command to try.
    #[bpaf(command("dev"))]
    Dev {
        /// Port for callers; 0 lets the kernel choose
        #[bpaf(long("port"), argument("PORT"), fallback(8080))]
        port: u16,
    },
    /// Sends a seeded trace of programs to running hosts and reports.
    ///
    /// Example: chicoryarch load --plan plan.toml --output before.json
    #[bpaf(command("load"))]
    Load {
        /// Plan of the run, in TOML
        #[bpaf(long("plan"), argument("FILE"))]
        plan: PathBuf,
        /// Where to write the result as JSON
        #[bpaf(long("output"), argument("FILE"), optional)]
        output: Option<PathBuf>,
    },
    /// Prints two results of `load` side by side.
    ///
    /// Example: chicoryarch compare before.json after.json
    #[bpaf(command("compare"))]
    Compare {
        /// Result of the run before a change
        #[bpaf(positional("BEFORE"))]
        before: PathBuf,
        /// Result of the run after it
        #[bpaf(positional("AFTER"))]
        after: PathBuf,
    },
    /// Prints what the logs of any hosts say of a request or program, by time.
    ///
    /// Example: chicoryarch explain 9c41d07be2a35f68 host-1.log host-2.log
    #[bpaf(command("explain"))]
    Explain {
        /// table or json
        #[bpaf(long("output"), argument("FORM"), fallback(Output::Table))]
        output: Output,
        /// Id of the request or program
        #[bpaf(positional("ID"))]
        id: String,
        /// Logs of the hosts
        #[bpaf(positional("FILE"), some("a log is expected"))]
        files: Vec<PathBuf>,
    },
    /// Sends one query or command to a host.
    ///
    /// Example: chicoryarch ctl --address 127.0.0.1:8082 --secret-file ops show hosts
    #[bpaf(command("ctl"))]
    Ctl {
        /// Operators' address of any host
        #[bpaf(long("address"), argument("ADDR"))]
        address: SocketAddr,
        /// File that holds the operator's secret
        #[bpaf(long("secret-file"), argument("FILE"))]
        secret_file: PathBuf,
        /// table or json
        #[bpaf(long("output"), argument("FORM"), fallback(Output::Table))]
        output: Output,
        /// The query or command
        #[bpaf(positional("TEXT"), some("a query or command is expected"))]
        text: Vec<String>,
    },
}
