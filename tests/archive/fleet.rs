//! Test fleet: a stand-in store and archive processes.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryarch::process::events::unix_ms;
use chicoryarch::protection::homes::Homes;
use chicoryarch::turns::TurnKey;
use chicoryarch::turns::record::Record;
use chicoryarch::turns::record::RecordHead;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::fleet::ObjectsStandin;
use http::Request;
use http::StatusCode;
use parking_lot::Mutex;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
use rustix::net::bind;
use rustix::net::socket_with;
use rustix::net::sockopt;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

/// Timeout of every wait in a test; only a hang reaches it.
pub(crate) const HANG_GUARD: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// First port for archive hosts, below the ephemeral ports and those of the
/// tests of gateways.
const FIRST_PORT: u16 = 15_000;
const PORTS: u16 = 4_000;
/// Customer of the records in tests of processes.
pub(crate) const CUSTOMER: &str = "customer-1";
/// Retention of the records in tests of processes, in milliseconds.
pub(crate) const RETENTION_MS: u64 = 60_000;

/// Polls until a condition holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < HANG_GUARD, "waited for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a record; `previous` is empty for none.
pub(crate) fn record(id: &str, previous: &str, holders: &[&str], text: &str) -> Record {
    let holders = holders.iter().map(|host| host.parse().expect("a name"));
    Record {
        head: RecordHead {
            id: id.into(),
            customer: CUSTOMER.into(),
            previous: (!previous.is_empty()).then(|| previous.into()),
            ended_ms: unix_ms(),
            retention_ms: RETENTION_MS,
            holders: holders.collect(),
            homes: Homes::default(),
            tokens: None,
        },
        text: Bytes::copy_from_slice(text.as_bytes()),
    }
}

/// Answer of an archive host.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("JSON")
    }

    pub(crate) fn record(&self) -> Record {
        let mut body = self.body.clone();
        let record = Record::decode(&mut body).expect("a valid frame");
        assert!(body.is_empty(), "one frame");
        record.expect("a frame")
    }
}

/// Store, client and folders of one test.
pub(crate) struct Fleet {
    pub(crate) store: ObjectsStandin,
    client: Client,
    folder: TempDir,
    reservations: Mutex<Vec<OwnedFd>>,
}

impl Fleet {
    /// Starts a store whose configuration keeps turns.
    pub(crate) fn new() -> Self {
        let fleet = Self::without_turns();
        fleet.keep_turns();
        fleet
    }

    /// Puts a configuration in force that keeps turns.
    pub(crate) fn keep_turns(&self) {
        self.store.put("config", "main", configuration(2, true));
    }

    /// Starts a store whose configuration keeps turns for a time in seconds.
    pub(crate) fn with_retention(retention_s: f64) -> Self {
        let fleet = Self::without_turns();
        let mut configuration = configuration(2, true);
        configuration["routes"][0]["retention_s"] = json!(retention_s);
        fleet.store.put("config", "main", configuration);
        fleet
    }

    /// Starts a store whose configuration keeps no turns.
    pub(crate) fn without_turns() -> Self {
        let spawner = Spawner::start(2);
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let store = async_io::block_on(ObjectsStandin::start(&spawner, any_port)).expect("a store");
        store.put("config", "main", configuration(1, false));
        Self {
            client: Client::new(spawner, ClientConfig::default()),
            folder: tempfile::tempdir().expect("a folder"),
            reservations: Mutex::default(),
            store,
        }
    }

    fn free_address(&self) -> SocketAddr {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        loop {
            let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            let flags = SocketFlags::CLOEXEC;
            let socket = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None);
            let socket = socket.expect("a socket");
            if bind(&socket, &address).is_ok() {
                // The process may share the port with a socket that never listens.
                sockopt::set_socket_reuseaddr(&socket, true).expect("the option is known");
                self.reservations.lock().push(socket);
                return address;
            }
        }
    }

    /// Starts an archive process at the first start of the deployment.
    pub(crate) fn archive(&self, name: &str, data_centre: &str) -> Archive {
        self.archive_with(
            name,
            data_centre,
            "limits.disk_mb=350\nlimits.memory_mb=130\nfault_tolerance.machines=2\n\
             fault_tolerance.zones=1\n",
        )
    }

    /// Starts an archive process with some of its settings.
    pub(crate) fn archive_with(&self, name: &str, data_centre: &str, more: &str) -> Archive {
        let address = self.free_address();
        let (folder, store) = (self.folder.path(), self.store.addr());
        Archive::launch(folder, name, data_centre, address, store, more)
    }

    /// Waits until an archive host answers, and is listed.
    pub(crate) fn wait_listed(&self, archive: &Archive) {
        wait_until("the archive host is listed", || {
            let entry = self.entry(&archive.name);
            entry.is_some_and(|entry| entry["address"] == archive.address.to_string())
                && self.try_get(archive, "/turns//00").is_some()
        });
    }

    /// Returns the entry of an archive host in the store.
    pub(crate) fn entry(&self, name: &str) -> Option<Value> {
        let spec = self.store.spec("chicoryarch-archives", name)?;
        Some(spec["value"].clone())
    }

    /// Stores records on an archive host.
    pub(crate) fn store_turns(&self, to: &Archive, records: &[Record]) -> Answer {
        self.try_store_turns(to, records).expect("an answer")
    }

    /// Stores records on an archive host; `None` if it does not answer.
    pub(crate) fn try_store_turns(&self, to: &Archive, records: &[Record]) -> Option<Answer> {
        let mut body = BytesMut::new();
        for record in records {
            record.encode(&mut body);
        }
        self.post(to, body.freeze())
    }

    /// Sends a body to an archive host; `None` if it does not answer.
    pub(crate) fn post(&self, to: &Archive, body: Bytes) -> Option<Answer> {
        self.send(to, Request::post("/turns"), Body::from_bytes(body))
    }

    /// Reads a turn.
    pub(crate) fn turn(&self, from: &Archive, id: &str) -> Answer {
        self.try_turn(from, id).expect("an answer")
    }

    /// Reads a turn; `None` if the host does not answer.
    pub(crate) fn try_turn(&self, from: &Archive, id: &str) -> Option<Answer> {
        self.try_turn_of(from, CUSTOMER, id)
    }

    /// Reads a turn of a customer; `None` if the host does not answer.
    pub(crate) fn try_turn_of(&self, from: &Archive, customer: &str, id: &str) -> Option<Answer> {
        let path = TurnKey::new(customer, id).to_path();
        self.try_get(from, &format!("/turns/{path}"))
    }

    pub(crate) fn try_get(&self, from: &Archive, path: &str) -> Option<Answer> {
        self.send(from, Request::get(path), Body::empty())
    }

    fn send(&self, to: &Archive, req: http::request::Builder, body: Body) -> Option<Answer> {
        let req = req.header("host", "x").body(body).expect("a valid request");
        async_io::block_on(async {
            let response = self.client.send(to.address, req, HANG_GUARD).await.ok()?;
            let status = response.status();
            let body = Body::collect(response.into_body(), 64 << 20).await.ok()?;
            Some(Answer { status, body })
        })
    }
}

/// An archive process; killed on drop.
pub(crate) struct Archive {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) data: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Archive {
    /// Starts a process with its files in a folder, and some of its settings.
    pub(crate) fn launch(
        folder: &Path,
        name: &str,
        data_centre: &str,
        address: SocketAddr,
        store: SocketAddr,
        more: &str,
    ) -> Self {
        let data = folder.join(name);
        let port = address.port();
        let settings = format!(
            "node_name={name}\nzone={data_centre}\nip=127.0.0.1\nport_range={port},{}\n\
             data_dir={}\nprovider.address={store}\nbootstrap=true\n{more}",
            port + 1,
            data.display(),
        );
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("the folder takes files");
        let mut archive = Self {
            name: name.to_owned(),
            address,
            data,
            settings: path,
            child: None,
        };
        archive.start();
        archive
    }

    /// Whether the process has been started and not been killed.
    #[allow(dead_code, reason = "tests/soak uses it")]
    pub(crate) const fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryarch"))
            .arg("archive")
            .env("CHICORYARCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(self.log_output())
            .spawn();
        self.child = Some(child.expect("the process starts"));
    }

    fn log_output(&self) -> Stdio {
        let path = self.settings.with_extension("log");
        let file = fs::File::options().create(true).append(true).open(path);
        file.expect("the folder takes files").into()
    }

    /// Id of the process.
    #[allow(dead_code, reason = "tests/misbehaving_clients uses it")]
    pub(crate) fn id(&self) -> u32 {
        self.child
            .as_ref()
            .map(Child::id)
            .expect("the process runs")
    }

    /// Kills the process as a power loss would.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has already exited.
            let _killed = child.kill();
            let _status = child.wait();
        }
    }

    /// Kills the process and removes its disk.
    pub(crate) fn lose_disk(&mut self) {
        self.kill();
        fs::remove_dir_all(&self.data).expect("the folder exists");
    }
}

impl Drop for Archive {
    fn drop(&mut self) {
        self.kill();
    }
}

fn configuration(version: u64, keeps_turns: bool) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "turns", "host": "h", "path_prefix": "/turns/", "route_type": "streaming",
             "timeout_ms": 8000, "service": "engine", "max_attempts": 1, "resumable": true,
             "retain_context": keeps_turns, "retention_s": 60},
        ],
        "services": [{"name": "engine"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "customer-1", "api_keys": ["key-1"]}],
    })
}
