//! Helpers that the tests of the stand-ins share.

// Each test file uses its own part of the helpers.
#![allow(dead_code)]

use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_net::client::Result;
use futures_lite::future;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Ends a test that hangs; no verdict depends on it.
pub(crate) const GUARD: Duration = Duration::from_secs(60);
/// A delay that no test waits for.
pub(crate) const NEVER: Duration = Duration::from_secs(3600);
/// Interval at which a test looks at a counter.
const POLL: Duration = Duration::from_millis(2);
/// Largest body that a test reads.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Executor of all stand-ins of a test process.
pub(crate) static SPAWNER: LazyLock<Spawner> = LazyLock::new(|| Spawner::start(4));

/// An address whose port the kernel chooses.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Runs a test that must not hang.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let guard = async {
        Timer::after(GUARD).await;
        panic!("the test hangs");
    };
    async_io::block_on(future::or(test, guard));
}

/// Waits until a counter has reached what the test needs.
pub(crate) async fn wait_until(reached: impl Fn() -> bool) {
    while !reached() {
        Timer::after(POLL).await;
    }
}

/// Headers of a request.
pub(crate) type Headers<'a> = &'a [(&'a str, &'a str)];

/// Calls one stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client,
    addr: SocketAddr,
}

/// An answer that was received whole.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.to_vec()).unwrap()
    }
}

impl Caller {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            client: Client::new(SPAWNER.clone(), ClientConfig::default()),
            addr,
        }
    }

    /// Sends a request and returns the head of its answer.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: impl Into<Body>,
    ) -> Result<Response<Incoming>> {
        let mut req = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.header("host", "standin").body(body.into()).unwrap();
        self.client.send(self.addr, req, GUARD).await
    }

    /// Sends a request and receives its whole answer.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: impl Into<Body>,
    ) -> Answer {
        let response = self.send(method, path, headers, body).await.unwrap();
        let (head, body) = response.into_parts();
        Answer {
            status: head.status,
            headers: head.headers,
            body: Body::collect(body, MAX_BYTES).await.unwrap(),
        }
    }

    /// Reads a report.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let answer = self.call(Method::GET, path, &[], Body::empty()).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        answer.json()
    }

    /// Sends a JSON body.
    pub(crate) async fn send_json(
        &self,
        method: Method,
        path: &str,
        value: &impl Serialize,
    ) -> Answer {
        let body = serde_json::to_vec(value).unwrap();
        self.call(method, path, &[], body).await
    }
}

/// Reads a body that must break off, and returns the error's text.
pub(crate) async fn broken_body(response: Response<Incoming>) -> String {
    let body = Body::collect(response.into_body(), MAX_BYTES).await;
    body.unwrap_err().to_string()
}
