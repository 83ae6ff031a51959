//! The `chicoryarch-standin` command.

use std::fs;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Bpaf;
use chicoryarch_net::Spawner;
use chicoryarch_standins::engine::EngineStandin;
use chicoryarch_standins::engine::config::EngineConfig;
use chicoryarch_standins::platform::PlatformStandin;
use chicoryarch_standins::service::ServiceStandin;

/// Number of executor threads.
const THREADS: usize = 2;

/// Runs a stand-in for a service that the scheduler uses.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Runs a model engine: chat completions, streamed or not.
    #[bpaf(command)]
    Engine {
        /// Address to listen on; port 0 selects a free port
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Settings file in TOML
        #[bpaf(argument("FILE"))]
        config: Option<PathBuf>,
    },
    /// Runs the platform: the object API.
    #[bpaf(command)]
    Platform {
        /// Address to listen on; port 0 selects a free port
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Runs a plain service: accepts any POST.
    #[bpaf(command)]
    Service {
        /// Address to listen on; port 0 selects a free port
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
}

fn main() -> io::Result<()> {
    let command = command().run();
    let spawner = Spawner::start(THREADS);
    async_io::block_on(run(&spawner, command))
}

async fn run(spawner: &Spawner, command: Command) -> io::Result<()> {
    let addr = match command {
        Command::Engine { listen, config } => {
            let cfg = engine_config(config.as_deref())?;
            EngineStandin::start(spawner, listen, cfg).await?.addr()
        }
        Command::Platform { listen } => PlatformStandin::start(spawner, listen).await?.addr(),
        Command::Service { listen } => ServiceStandin::start(spawner, listen).await?.addr(),
    };
    print_address(addr)?;
    std::future::pending().await
}

fn engine_config(path: Option<&Path>) -> io::Result<EngineConfig> {
    let Some(path) = path else {
        return Ok(EngineConfig::default());
    };
    let text = fs::read_to_string(path)?;
    toml::from_str(&text).map_err(io::Error::other)
}

/// Prints the address, which signals a waiting parent that the server is ready.
fn print_address(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{addr}")?;
    out.flush()
}
