//! A blocking HTTP client for tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch::configs::platform::PlatformConfig;
use chicoryarch::connection::platform::http::HttpPlatform;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use serde::Serialize;

use super::HANG_GUARD;

/// Maximum size of a response body, in bytes.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// A request that a test sends.
#[derive(Clone, Debug)]
pub struct Req {
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Req {
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    pub fn post(path: &str) -> Self {
        Self::new(Method::POST, path)
    }

    pub fn put(path: &str) -> Self {
        Self::new(Method::PUT, path)
    }

    pub fn delete(path: &str) -> Self {
        Self::new(Method::DELETE, path)
    }

    #[must_use]
    pub fn header(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        let name: HeaderName = name.parse().expect("a header name");
        let value = HeaderValue::try_from(value.to_string()).expect("a header value");
        self.headers.append(name, value);
        self
    }

    #[must_use]
    pub fn bearer(self, secret: &str) -> Self {
        self.header("authorization", format!("Bearer {secret}"))
    }

    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    #[must_use]
    pub fn json<T: Serialize>(self, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("the value encodes as JSON");
        self.header("content-type", "application/json").body(body)
    }

    fn request(&self, to: SocketAddr) -> Request<Body> {
        let mut req = Request::new(Body::from_bytes(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.path.parse().expect("a path");
        *req.headers_mut() = self.headers.clone();
        let host = HeaderValue::try_from(to.to_string()).expect("an address");
        req.headers_mut().insert(header::HOST, host);
        req
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|e| panic!("not JSON ({e}): {}", self.text()))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The `type` of the problem document, `None` if the response has none.
    pub fn problem(&self) -> Option<String> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        Some(body.get("type")?.as_str()?.to_owned())
    }
}

/// Why a request got no complete response.
#[derive(Debug)]
pub enum ExchangeError {
    /// No response head arrived.
    Head(String),
    /// The body ended early or exceeded the maximum size.
    Body(String),
}

/// A client with its own executor.
#[derive(Clone)]
pub struct Http {
    spawner: Spawner,
    client: Client,
}

impl Default for Http {
    fn default() -> Self {
        let spawner = Spawner::start(2);
        let cfg = ClientConfig {
            connect_timeout: Duration::from_secs(5),
            ..ClientConfig::default()
        };
        let client = Client::new(spawner.clone(), cfg);
        Self { spawner, client }
    }
}

impl Http {
    pub async fn exchange(&self, to: SocketAddr, req: &Req) -> Result<Answer, ExchangeError> {
        let sent = self
            .client
            .send_fresh(to, req.request(to), HANG_GUARD)
            .await;
        let response = sent.map_err(|e| ExchangeError::Head(e.to_string()))?;
        let (head, body) = response.into_parts();
        let body = Body::collect(body, MAX_ANSWER).await;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.map_err(|e| ExchangeError::Body(e.to_string()))?,
        })
    }

    pub fn try_send(&self, to: SocketAddr, req: &Req) -> Result<Answer, ExchangeError> {
        async_io::block_on(self.exchange(to, req))
    }

    pub fn send(&self, to: SocketAddr, req: &Req) -> Answer {
        self.try_send(to, req).expect("a complete response")
    }

    /// Sends a request in the background.
    pub fn start(&self, to: SocketAddr, req: &Req) -> Pending {
        let (tx, rx) = async_channel::bounded(1);
        let this = self.clone();
        let req = req.clone();
        let task = self.spawner.spawn(async move {
            let answer = this.exchange(to, &req).await;
            let _sent = tx.send(answer).await;
        });
        Pending { rx, _task: task }
    }

    pub fn platform(&self, address: SocketAddr) -> HttpPlatform {
        let cfg = PlatformConfig {
            address,
            ..PlatformConfig::default()
        };
        let host = "test".parse().expect("a valid name");
        HttpPlatform::new(self.client.clone(), &host, cfg)
    }
}

/// A request sent in the background; dropping it closes the connection.
pub struct Pending {
    rx: async_channel::Receiver<Result<Answer, ExchangeError>>,
    _task: async_executor::Task<()>,
}

impl Pending {
    pub fn is_done(&self) -> bool {
        !self.rx.is_empty()
    }

    pub fn wait(self) -> Result<Answer, ExchangeError> {
        self.rx.recv_blocking().expect("the task sends a result")
    }
}
