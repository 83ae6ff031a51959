//! HTTP server of a stand-in.

use std::io;
use std::net::SocketAddr;

use chicoryarch_net::Spawner;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;

/// A running HTTP server; clones refer to the same server.
#[derive(Clone, Debug)]
pub struct RunningServer {
    addr: SocketAddr,
    control: ServerControl,
}

impl RunningServer {
    /// Binds `address` and serves on the executor; port 0 selects a free port.
    pub(crate) async fn start<H: Handler>(
        spawner: &Spawner,
        address: SocketAddr,
        handler: H,
    ) -> io::Result<Self> {
        let listener = server::bind(address).await?;
        let addr = listener.local_addr()?;
        let control = ServerControl::default();
        let serving = server::serve(
            listener,
            spawner.clone(),
            ServerConfig::default(),
            control.clone(),
            handler,
        );
        spawner.detach(serving);
        Ok(Self { addr, control })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections; open ones close after their current request.
    pub fn stop(&self) {
        self.control.stop();
    }
}
