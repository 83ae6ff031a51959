//! Helpers shared by the tests of the stand-ins.

// No test file uses all helpers.
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

/// Timeout of a hanging test; no assertion depends on it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// A delay longer than any test runs.
pub(crate) const LONG_DELAY: Duration = Duration::from_secs(3600);
/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Executor shared by all stand-ins of a test process.
pub(crate) static SPAWNER: LazyLock<Spawner> = LazyLock::new(|| Spawner::start(4));

/// Returns a loopback address with port 0, which selects a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Runs a test; panics if it takes longer than [`TEST_TIMEOUT`].
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    let timeout = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("the test timed out");
    };
    async_io::block_on(future::or(test, timeout));
}

/// Polls a condition until it holds.
pub(crate) async fn wait_until(is_reached: impl Fn() -> bool) {
    while !is_reached() {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Names and values of request headers.
pub(crate) type Headers<'a> = &'a [(&'a str, &'a str)];

/// HTTP client of one stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client,
    addr: SocketAddr,
}

/// A response with its complete body.
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

    /// Sends a request and returns the response before its body is read.
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
        self.client.send(self.addr, req, TEST_TIMEOUT).await
    }

    /// Sends a request and reads the complete response.
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
            body: Body::collect(body, MAX_BODY_BYTES).await.unwrap(),
        }
    }

    /// Sends a GET, which must succeed, and parses the JSON body.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let answer = self.call(Method::GET, path, &[], Body::empty()).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        answer.json()
    }

    /// Sends a request with a JSON body.
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

/// Reads a body that must break off, and returns the error text.
pub(crate) async fn read_broken_body(response: Response<Incoming>) -> String {
    let body = Body::collect(response.into_body(), MAX_BODY_BYTES).await;
    body.unwrap_err().to_string()
}
