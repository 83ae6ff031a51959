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

/// A call to an endpoint, with the scheduler's headers.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Call to send.
    pub call: &'a Call,
    /// Program of the call; a generated one if the call belongs to none.
    pub program: &'a ProgramId,
    /// Position within the program.
    pub ordinal: Ordinal,
    /// Fencing token of the host that dispatches the call.
    pub fence: Epoch,
    /// Cache entry to use at a model engine; `None` if the engine should not keep
    /// the context.
    pub cache: Option<CacheHandle>,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Priority at a model engine; higher values run first.
    pub priority: u32,
}

impl Dispatch<'_> {
    fn build_request(&self, to: SocketAddr) -> Request<Body> {
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
    /// A call that is not repeatable uses a new connection: if the endpoint closes
    /// a reused one, it is unknown whether the endpoint ran the call.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::send`].
    pub async fn send(
        &self,
        client: &Client,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        let req = self.build_request(to);
        if !self.repeatable {
            client.send_fresh(to, req, timeout).await
        } else {
            client.send(to, req, timeout).await
        }
    }
}
