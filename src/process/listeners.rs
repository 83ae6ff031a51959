//! Opens the ports of a host and prints their addresses.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use async_net::TcpListener;
use chicoryarch_net::server;

use crate::configs::host::HostConfig;

/// Error of opening a port.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address} for {purpose}: {source}")]
pub struct BindError {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Clients that the port serves.
    pub purpose: &'static str,
    /// Error of the operating system.
    pub source: io::Error,
}

/// Result of opening ports.
pub type Result<T> = std::result::Result<T, BindError>;

/// Open ports of a host that is starting.
#[derive(Debug)]
pub struct Listeners {
    /// Port for callers.
    pub callers: TcpListener,
    /// Port for other hosts.
    pub peers: TcpListener,
    /// Port for operators.
    pub operators: TcpListener,
}

/// Local addresses of the ports of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

impl Listeners {
    /// Opens the ports at the addresses in the settings.
    ///
    /// # Errors
    ///
    /// [`BindError`] for the first port that cannot be opened.
    pub async fn open(cfg: &HostConfig) -> Result<Self> {
        Ok(Self {
            callers: bind(cfg.listen.callers, "callers").await?,
            peers: bind(cfg.listen.peers, "other hosts").await?,
            operators: bind(cfg.listen.operators, "operators").await?,
        })
    }

    /// Local addresses of the ports. A port of 0 in the settings is replaced
    /// by the one that the kernel chose.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            operators: self.operators.local_addr()?,
        })
    }
}

async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener> {
    server::bind(address).await.map_err(|source| BindError {
        address,
        purpose,
        source,
    })
}

/// Prints the addresses on which the host listens to standard output.
///
/// # Errors
///
/// The error of writing to standard output.
pub fn print_addresses(addresses: &Addresses) -> io::Result<()> {
    let Addresses {
        callers,
        peers,
        operators,
    } = addresses;
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "listening callers={callers} peers={peers} operators={operators}"
    )?;
    out.flush()
}
