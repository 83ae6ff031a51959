//! Sends calls to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::client::Result;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;

use super::headers;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::call::Call;
use crate::version::engine_memory::CacheHandle;

/// Priority of calls on interactive routes.
pub const INTERACTIVE_PRIORITY: u32 = 10;

/// What an endpoint is told beside the call itself.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The call.
    pub call: &'a Call,
    /// Program, or the one made up for a single call.
    pub program: &'a ProgramId,
    /// Position within the program.
    pub ordinal: Ordinal,
    /// Fencing number of the dispatching owner.
    pub fence: Epoch,
    /// Cache to use at a model engine; absent if nothing is to be kept.
    pub cache: Option<CacheHandle>,
    /// True if the call may run more than once.
    pub repeatable: bool,
    /// Larger runs first at a model engine.
    pub priority: u32,
}

impl Dispatch<'_> {
    fn request(&self, to: SocketAddr) -> Request<Body> {
        let call = self.call;
        let mut req = Request::new(Body::from_bytes(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.path.parse().expect("the path came from a valid URI");
        let fields = req.headers_mut();
        *fields = call.headers.clone();
        fields.insert(header::HOST, headers::value(to));
        fields.insert(headers::PROGRAM, headers::value(self.program));
        fields.insert(headers::CALL, headers::value(self.ordinal));
        fields.insert(headers::FENCE, headers::value(self.fence));
        if let Some(handle) = &self.cache {
            fields.insert(headers::CACHE, headers::value(handle));
        }
        fields.insert(headers::PRIORITY, headers::value(self.priority));
        if let Some(key) = &call.idempotency_key {
            fields.insert(headers::IDEMPOTENCY_KEY, headers::value(key));
        }
        debug_assert!(!fields.contains_key(header::AUTHORIZATION));
        req
    }

    /// Sends the call and waits for the response head.
    ///
    /// A call that may not be repeated gets a connection of its own: on one
    /// that was idle, a close by the endpoint cannot be told from a lost run.
    ///
    /// # Errors
    ///
    /// What [`Client::send`] reports.
    pub async fn send(
        &self,
        client: &Client,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        let req = self.request(to);
        if !self.repeatable {
            client.send_fresh(to, req, timeout).await
        } else {
            client.send(to, req, timeout).await
        }
    }
}
