//! The `chicoryarch-standin` command.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use bpaf::Bpaf;
use chicoryarch_net::Spawner;
use chicoryarch_standins::platform::PlatformStandin;

/// Threads that serve the requests.
const THREADS: usize = 2;

/// Runs a stand-in of a service that the scheduler uses.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Runs the platform: the object API.
    #[bpaf(command)]
    Platform {
        /// Address to listen on; port 0 lets the kernel choose
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
    match command {
        Command::Platform { listen } => {
            let standin = PlatformStandin::start(spawner, listen).await?;
            announce(standin.addr())?;
        }
    }
    std::future::pending().await
}

/// Prints the address, which tells a waiting parent that the server is ready.
fn announce(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{addr}")?;
    out.flush()
}
