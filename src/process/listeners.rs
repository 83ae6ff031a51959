//! Opens a host's ports and tells where they are.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use async_net::TcpListener;
use chicoryarch_net::server;

use crate::configs::host::HostConfig;

/// A port that cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address} for {purpose}: {source}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// What the port is for.
    pub purpose: &'static str,
    /// What the system answered.
    pub source: io::Error,
}

/// Result of opening ports.
pub type Result<T> = std::result::Result<T, BindError>;

/// Open ports of a starting host.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For other hosts.
    pub peers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

/// Addresses on which a host listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl Listeners {
    /// Opens the ports that the settings name.
    ///
    /// # Errors
    ///
    /// [`BindError`].
    pub async fn open(cfg: &HostConfig) -> Result<Self> {
        Ok(Self {
            callers: bind(cfg.listen.callers, "callers").await?,
            peers: bind(cfg.listen.peers, "other hosts").await?,
            operators: bind(cfg.listen.operators, "operators").await?,
        })
    }

    /// The addresses, with the ports that the kernel chose.
    ///
    /// # Errors
    ///
    /// What the system answered.
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

/// Prints where the host listens, once it does.
///
/// # Errors
///
/// What the system answered.
pub fn announce(addresses: &Addresses) -> io::Result<()> {
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
