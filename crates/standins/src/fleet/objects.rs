//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::server::Handler;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;

use crate::listen::RunningServer;

/// Path prefix of objects.
const OBJECTS_PATH: &str = "/v1/objects/";
/// Maximum body size of a request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval at which a waiting watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(5);

/// Injected faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Whether every call is refused with 503.
    pub is_unavailable: bool,
    /// Number of upcoming writes that take effect and are never answered.
    pub lost_answers: u32,
    /// Maximum number of objects on a page of a list; 0 for no limit.
    pub page_size: usize,
    /// Delay before a write takes effect.
    pub write_time: Duration,
    /// Whether every watch is answered that its history is gone.
    pub has_no_history: bool,
    /// Whether every call is rejected with 429.
    pub is_over_rate: bool,
    /// Kind of objects for which every call is refused with 503.
    pub refused_kind: Option<&'static str>,
}

/// Kind of the endpoints' entries.
const ENDPOINTS: &str = "servers";
/// Body of an answer without an object.
const NO_OBJECT: &[u8] = b"null";

#[derive(Clone, Debug)]
struct Stored {
    spec: Value,
    status: Value,
    revision: u64,
    create_revision: u64,
    /// The object in JSON.
    text: Arc<[u8]>,
}

impl Stored {
    fn encode(&mut self, name: &str) {
        self.text = object_json(name, self).to_string().into_bytes().into();
    }

    /// Encodes the object with a spec that need not be valid JSON.
    fn encode_raw(&mut self, name: &str, spec: &[u8]) {
        self.encode(name);
        let text = object_json(name, self).to_string();
        let (head, tail) = text.split_once("\"spec\":null").expect("a spec");
        self.text = [head.as_bytes(), b"\"spec\":", spec, tail.as_bytes()]
            .concat()
            .into();
    }
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    event: Event,
}

/// A state of an object in JSON, which may be large and is encoded only once.
#[derive(Clone, Debug)]
struct Event {
    object: Arc<[u8]>,
    deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Stored>,
    revision: u64,
    history: Vec<Change>,
    /// Revision up to which the change history has been discarded.
    compacted: u64,
    faults: StoreFaults,
    calls: u64,
    has_views: bool,
}

/// A running store; clones refer to the same server.
#[derive(Clone, Debug)]
pub struct ObjectsStandin {
    server: RunningServer,
    state: Arc<Mutex<State>>,
}

impl ObjectsStandin {
    /// Starts an empty store; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `address`.
    pub async fn start(spawner: &Spawner, address: SocketAddr) -> io::Result<Self> {
        let state = Arc::<Mutex<State>>::default();
        let api = Api {
            state: Arc::clone(&state),
            replaced: Arc::default(),
        };
        let server = RunningServer::start(spawner, address, api).await?;
        Ok(Self { server, state })
    }

    /// Starts a second server of the same objects that names other addresses,
    /// each with the one in its place: the endpoints as one host reaches them.
    ///
    /// From then on the versions of the list of endpoints, in all views, count
    /// changes of endpoints only. A host then takes no other host's list, which
    /// names other addresses, for newer than its own.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a free port.
    pub async fn view(
        &self,
        spawner: &Spawner,
        replaced: &[(SocketAddr, SocketAddr)],
    ) -> io::Result<SocketAddr> {
        self.state.lock().has_views = true;
        let quoted = |address: &SocketAddr| format!("\"{address}\"");
        let replaced = replaced.iter().map(|(from, to)| (quoted(from), quoted(to)));
        let api = Api {
            state: Arc::clone(&self.state),
            replaced: replaced.collect(),
        };
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let server = RunningServer::start(spawner, any_port, api).await?;
        Ok(server.addr())
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces all faults, including their remaining counts.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.lock().faults = faults;
    }

    /// Creates an object or replaces its spec, without faults or conditions.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.state.lock().put(kind, name, spec);
    }

    /// Creates or replaces an object whose spec is sent as it is, valid JSON or
    /// not.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut state = self.state.lock();
        state.put(kind, name, Value::Null);
        let id = (kind.to_owned(), name.to_owned());
        let stored = state.objects.get_mut(&id).expect("it has just been put");
        stored.encode_raw(name, spec);
        let object = Arc::clone(&stored.text);
        let change = state.history.last_mut().expect("it has just been put");
        change.event.object = object;
    }

    /// Removes an object, without faults or conditions.
    pub fn delete(&self, kind: &str, name: &str) {
        self.state.lock().delete(kind, name);
    }

    /// Returns the spec of an object; `None` if there is no such object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let id = (kind.to_owned(), name.to_owned());
        let state = self.state.lock();
        state.objects.get(&id).map(|stored| stored.spec.clone())
    }

    /// Returns the status of an object; `None` if there is no such object.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let id = (kind.to_owned(), name.to_owned());
        let state = self.state.lock();
        state.objects.get(&id).map(|stored| stored.status.clone())
    }

    /// Discards the change history; watches from an older revision get 410.
    pub fn compact_history(&self) {
        let mut state = self.state.lock();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Returns the number of received calls, including refused ones.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }
}

fn object_json(name: &str, stored: &Stored) -> Value {
    json!({
        "metadata": {
            "name": name,
            "revision": stored.revision,
            "create_revision": stored.create_revision,
            "finalizers": [],
            "deleting": false,
        },
        "spec": stored.spec,
        "status": stored.status,
    })
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Arc<[u8]> {
        self.revision += 1;
        let revision = self.revision;
        let id = (kind.to_owned(), name.to_owned());
        let stored = self.objects.entry(id).or_insert_with(|| Stored {
            spec: Value::Null,
            status: Value::Null,
            revision,
            create_revision: revision,
            text: Arc::new([]),
        });
        stored.spec = spec;
        stored.revision = revision;
        stored.encode(name);
        let object = Arc::clone(&stored.text);
        self.record_change(kind, Arc::clone(&object), false);
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let id = (kind.to_owned(), name.to_owned());
        let Some(stored) = self.objects.remove(&id) else {
            return false;
        };
        self.revision += 1;
        self.record_change(kind, stored.text, true);
        true
    }

    fn record_change(&mut self, kind: &str, object: Arc<[u8]>, deleted: bool) {
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            event: Event { object, deleted },
        });
    }

    /// Revision that a list or watch of a kind reports.
    fn revision_of(&self, kind: &str) -> u64 {
        if !self.has_views || kind != ENDPOINTS {
            return self.revision;
        }
        let changes = self.history.iter().rev();
        let mut of_kind = changes.filter(|change| change.kind == kind);
        of_kind.next().map_or(self.compacted, |c| c.revision)
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Vec<u8> {
        let of_kind = self
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && after.is_none_or(|after| name.as_str() > after));
        let mut items: Vec<&[u8]> = of_kind.map(|(_, stored)| &*stored.text).collect();
        let page_size = self.faults.page_size;
        let truncated = page_size > 0 && items.len() > page_size;
        if truncated {
            items.truncate(page_size);
        }
        let revision = self.revision_of(kind);
        let tail = format!(r#"],"truncated":{truncated},"store_revision":{revision}}}"#);
        let items = items.join(&b","[..]);
        [&br#"{"items":["#[..], &items, tail.as_bytes()].concat()
    }

    fn events(&self, kind: &str, since: u64) -> Vec<Event> {
        let changes = self.history.iter();
        changes
            .filter(|change| change.kind == kind && change.revision > since)
            .map(|change| change.event.clone())
            .collect()
    }

    /// Executes a write and returns the status and body of its answer.
    fn write(&mut self, call: &Call, body: &Value) -> (StatusCode, Arc<[u8]>) {
        let name = match (&call.name, body["metadata"]["name"].as_str()) {
            (Some(name), _) => name.clone(),
            (None, Some(name)) => name.to_owned(),
            (None, None) => return (StatusCode::BAD_REQUEST, Arc::from(NO_OBJECT)),
        };
        let id = (call.kind.clone(), name.clone());
        let existing = self.objects.get(&id).cloned();
        let expected = body["metadata"]["revision"].as_u64().or(call.revision);
        let conflict = |stored: &Stored| (StatusCode::CONFLICT, Arc::clone(&stored.text));
        match (&call.method, existing) {
            (&Method::POST, Some(stored)) => conflict(&stored),
            (&Method::POST, None) => {
                let created = self.put(&call.kind, &name, body["spec"].clone());
                (StatusCode::OK, created)
            }
            (_, None) => (StatusCode::NOT_FOUND, Arc::from(NO_OBJECT)),
            (_, Some(stored)) if expected.is_some_and(|e| e != stored.revision) => {
                conflict(&stored)
            }
            (&Method::DELETE, Some(_)) => {
                self.delete(&call.kind, &name);
                (StatusCode::OK, Arc::from(NO_OBJECT))
            }
            (_, Some(_)) if call.is_status => {
                let stored = self
                    .objects
                    .get_mut(&id)
                    .expect("the object was found above");
                stored.status = body["status"].clone();
                stored.encode(&name);
                (StatusCode::OK, Arc::clone(&stored.text))
            }
            (_, Some(_)) => {
                let changed = self.put(&call.kind, &name, body["spec"].clone());
                (StatusCode::OK, changed)
            }
        }
    }
}

#[derive(Debug)]
struct Call {
    method: Method,
    kind: String,
    name: Option<String>,
    is_status: bool,
    after: Option<String>,
    watch: Option<u64>,
    wait: Duration,
    revision: Option<u64>,
}

impl Call {
    fn parse(req: &Request<Incoming>) -> Option<Self> {
        let mut parts = req.uri().path().strip_prefix(OBJECTS_PATH)?.split('/');
        let kind = parts.next()?.to_owned();
        let name = parts.next().map(ToOwned::to_owned);
        let is_status = parts.next() == Some("status");
        let query = req.uri().query().unwrap_or_default();
        let parameter = |wanted: &str| {
            let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
            let (_, value) = parameters.find(|(name, _)| *name == wanted)?;
            Some(value.to_owned())
        };
        let number = |wanted: &str| parameter(wanted)?.parse::<u64>().ok();
        Some(Self {
            method: req.method().clone(),
            kind,
            name,
            is_status,
            after: parameter("after"),
            watch: number("watch"),
            wait: Duration::from_millis(number("wait_ms").unwrap_or_default()),
            revision: number("revision"),
        })
    }
}

#[derive(Clone)]
struct Api {
    state: Arc<Mutex<State>>,
    /// Texts that answers to reads contain, each with the one in its place.
    replaced: Arc<[(String, String)]>,
}

impl Handler for Api {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let faults = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.faults
        };
        if faults.is_over_rate {
            return json_response(StatusCode::TOO_MANY_REQUESTS, NO_OBJECT);
        }
        let is_refused =
            |call: &Call| faults.is_unavailable || faults.refused_kind == Some(&*call.kind);
        let Some(call) = Call::parse(&req).filter(|call| !is_refused(call)) else {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, NO_OBJECT);
        };
        if call.method == Method::GET {
            let (status, text) = self.read(&call).await;
            return json_response(status, self.replace(text));
        }
        let body = Body::collect(req.into_body(), MAX_BODY_BYTES).await;
        let write_time = self.state.lock().faults.write_time;
        Timer::after(write_time).await;
        let body = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null);
        let (status, answer, is_lost) = {
            let mut state = self.state.lock();
            let (status, answer) = state.write(&call, &body);
            let is_lost = state.faults.lost_answers > 0;
            state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
            (status, answer, is_lost)
        };
        if is_lost {
            futures_lite::future::pending::<()>().await;
        }
        json_response(status, &answer[..])
    }
}

impl Api {
    fn replace(&self, text: Vec<u8>) -> Vec<u8> {
        let replaced = self.replaced.iter();
        replaced.fold(text, |text, (from, to)| {
            let text = String::from_utf8(text).expect("views are of valid objects");
            text.replace(from, to).into_bytes()
        })
    }

    async fn read(&self, call: &Call) -> (StatusCode, Vec<u8>) {
        if let Some(name) = &call.name {
            let id = (call.kind.clone(), name.clone());
            let state = self.state.lock();
            return match state.objects.get(&id) {
                Some(stored) => (StatusCode::OK, stored.text.to_vec()),
                None => (StatusCode::NOT_FOUND, NO_OBJECT.to_owned()),
            };
        }
        let Some(since) = call.watch else {
            let listed = self.state.lock().list(&call.kind, call.after.as_deref());
            return (StatusCode::OK, listed);
        };
        let mut waited = Duration::ZERO;
        loop {
            let (events, revision) = {
                let state = self.state.lock();
                if state.faults.is_unavailable {
                    return (StatusCode::SERVICE_UNAVAILABLE, NO_OBJECT.to_owned());
                }
                let revision = state.revision_of(&call.kind);
                let is_lost = since < state.compacted && since < revision;
                if is_lost || state.faults.has_no_history {
                    return (StatusCode::GONE, NO_OBJECT.to_owned());
                }
                (state.events(&call.kind, since), revision)
            };
            if !events.is_empty() || waited >= call.wait {
                let event = |Event { object, deleted }: &Event| {
                    let tail = format!(r#","deleted":{deleted}}}"#);
                    [&br#"{"object":"#[..], object, tail.as_bytes()].concat()
                };
                let events: Vec<Vec<u8>> = events.iter().map(event).collect();
                let tail = format!(r#"],"store_revision":{revision}}}"#);
                let events = events.join(&b","[..]);
                let answer = [&br#"{"events":["#[..], &events, tail.as_bytes()].concat();
                return (StatusCode::OK, answer);
            }
            Timer::after(WATCH_POLL).await;
            waited += WATCH_POLL;
        }
    }
}

fn json_response(status: StatusCode, json: impl Into<Vec<u8>>) -> Response<Body> {
    let mut response = Response::new(Body::from(json.into()));
    *response.status_mut() = status;
    response
}
