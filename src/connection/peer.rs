//! Control calls between hosts: JSON-RPC over HTTP POST.
//!
//! Each module registers its methods on an `RpcModule` and calls other hosts
//! through [`Peers`]. Bulk data, such as a forwarded call, is sent as plain
//! HTTP instead.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::body::ReadLimits;
use http::Request;
use http::StatusCode;
use http::header;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Response;
use jsonrpsee_types::ResponsePayload;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::configs::peer::PeerConfig;

/// Path of control calls on the peers' port.
pub const RPC_PATH: &str = "/rpc";

/// Why a control call failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The other host answered with an error.
    #[error("the host refused the call: {0}")]
    Refused(ErrorObjectOwned),
    /// The answer is not valid JSON-RPC.
    #[error("the host's answer cannot be read: {0}")]
    Malformed(String),
    /// The answer has another status than 200.
    #[error("the host answered {0}")]
    Status(StatusCode),
    /// No complete answer was received in time, or it is too large; the other host
    /// may have executed the call.
    #[error("the host cannot be reached: {0}")]
    Unreachable(String),
}

/// Result of a control call.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Sends control calls to other hosts.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Calls a method of the host whose peers' port is at `to`.
    fn call<P, R>(
        &self,
        to: SocketAddr,
        method: &'static str,
        params: &P,
    ) -> impl Future<Output = Result<R>> + Send
    where
        P: Serialize + Sync,
        R: DeserializeOwned + Send;
}

/// Secrets that hosts share to authenticate each other; clones share updates.
#[derive(Clone, Debug)]
pub struct PeerSecret(Arc<ArcSwap<Vec<String>>>);

impl PeerSecret {
    /// Creates the credential. The first secret is sent, all are accepted, so
    /// that secrets can be rotated.
    pub fn new(secrets: Vec<String>) -> Self {
        Self(Arc::new(ArcSwap::from_pointee(secrets)))
    }

    /// Replaces all secrets.
    pub fn replace(&self, secrets: Vec<String>) {
        self.0.store(Arc::new(secrets));
    }

    /// Value of the `Authorization` header that this host sends.
    pub fn header(&self) -> String {
        let secrets = self.0.load();
        let first = secrets.first().map(String::as_str).unwrap_or_default();
        format!("Peer {first}")
    }

    /// Whether the `Authorization` header carries one of the accepted secrets.
    /// Empty secrets are never accepted.
    pub fn accepts(&self, header: Option<&[u8]>) -> bool {
        use subtle::ConstantTimeEq;

        let Some(sent) = header.and_then(|h| h.strip_prefix(b"Peer ")) else {
            return false;
        };
        let secrets = self.0.load();
        let matches =
            |accepted: &String| !accepted.is_empty() && bool::from(accepted.as_bytes().ct_eq(sent));
        secrets.iter().any(matches)
    }
}

/// Sends control calls over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPeers {
    cfg: PeerConfig,
    client: Client,
    secret: PeerSecret,
}

#[derive(Serialize)]
struct Call<'a, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'static str,
    params: [&'a P; 1],
}

impl HttpPeers {
    /// Creates a sender that uses the connections of `client`.
    pub fn new(client: Client, secret: PeerSecret, cfg: PeerConfig) -> Self {
        Self {
            cfg,
            client,
            secret,
        }
    }

    /// Fetches a document of another host; `None` if it has none or does not send
    /// it now.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not answer, or breaks the document off.
    pub async fn fetch(&self, to: SocketAddr, path: &str) -> Result<Option<Bytes>> {
        let req = Request::get(path)
            .header(header::HOST, "peer")
            .header(header::AUTHORIZATION, self.secret.header())
            .body(Body::empty())
            .map_err(|e| PeerError::Malformed(format!("not a valid request: {e}")))?;
        match self.exchange(to, req).await {
            Ok(document) => Ok(Some(document)),
            Err(PeerError::Status(StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE)) => {
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }

    fn build_request<P: Serialize>(&self, method: &'static str, params: &P) -> Request<Body> {
        let call = Call {
            jsonrpc: "2.0",
            id: 1,
            method,
            params: [params],
        };
        let body = serde_json::to_vec(&call).expect("typed parameters always serialize to JSON");
        Request::post(RPC_PATH)
            .header(header::HOST, "peer")
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, self.secret.header())
            .body(Body::from(body))
            .expect("constant request parts are valid")
    }

    async fn exchange(&self, to: SocketAddr, req: Request<Body>) -> Result<Bytes> {
        let response = self
            .client
            .send(to, req, self.cfg.timeout)
            .await
            .map_err(unreachable)?;
        let status = response.status();
        let limits = ReadLimits {
            max_bytes: self.cfg.max_message_bytes,
            max_pause: self.cfg.timeout,
            max_time: self.cfg.transfer_timeout,
        };
        let body = Body::read_within(response.into_body(), limits)
            .await
            .map_err(unreachable)?;
        if status != StatusCode::OK {
            return Err(PeerError::Status(status));
        }
        Ok(body)
    }
}

impl Peers for HttpPeers {
    async fn call<P, R>(&self, to: SocketAddr, method: &'static str, params: &P) -> Result<R>
    where
        P: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        let req = self.build_request(method, params);
        let body = self.exchange(to, req).await;
        if matches!(body, Err(PeerError::Unreachable(_))) {
            // The idle connections may carry nothing any more, either.
            self.client.close_idle(to);
        }
        decode(&body?)
    }
}

fn unreachable(e: impl std::error::Error) -> PeerError {
    PeerError::Unreachable(e.to_string())
}

fn decode<R: DeserializeOwned>(body: &[u8]) -> Result<R> {
    let malformed = |e: serde_json::Error| PeerError::Malformed(e.to_string());
    let response: Response<'_, Box<RawValue>> = serde_json::from_slice(body).map_err(malformed)?;
    match response.payload {
        ResponsePayload::Success(value) => serde_json::from_str(value.get()).map_err(malformed),
        ResponsePayload::Error(error) => Err(PeerError::Refused(error.into_owned())),
    }
}

/// Parameter of methods that take no parameters; an empty JSON object.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NoParams {}
