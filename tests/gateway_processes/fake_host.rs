//! A host of the gateways' protocol that reports and sends a configuration of
//! the test's choice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde_json::json;

/// A running host; clones refer to the same one.
#[derive(Clone)]
pub(crate) struct FakeHost {
    /// Version that it reports.
    pub(crate) version: u64,
    /// Document that it sends.
    pub(crate) document: &'static str,
    /// Number of documents sent.
    pub(crate) sent: Arc<AtomicUsize>,
}

impl FakeHost {
    /// Starts to listen and returns the address.
    pub(crate) fn start(&self, spawner: &Spawner) -> SocketAddr {
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let listener = async_io::block_on(server::bind(any_port)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        spawner.detach(server::serve(
            listener,
            spawner.clone(),
            ServerConfig::default(),
            ServerControl::default(),
            self.clone(),
        ));
        address
    }
}

impl Handler for FakeHost {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        if req.method() == Method::GET {
            self.sent.fetch_add(1, Ordering::AcqRel);
            return Response::new(Body::from(self.document));
        }
        let known = json!({"host": "fake", "configuration": self.version,
            "endpoints": null, "hosts": null, "is_current": false, "spent": []});
        let reply = json!({"known": known, "configuration": null, "endpoints": null,
            "hosts": null});
        let answer = json!({"jsonrpc": "2.0", "id": 1, "result": reply});
        Response::new(Body::from(answer.to_string()))
    }
}
