//! Reads the platform's settings file, which has lines of the form `key=value`.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::configs::balance::BalanceConfig;
use crate::configs::door::DoorConfig;
use crate::configs::gateway::ArchiveConfig;
use crate::configs::gateway::FaultTolerance;
use crate::configs::gateway::GatewayConfig;
use crate::configs::gateway::HostPlace;
use crate::configs::gateway::StoreConfig;
use crate::protection::homes::Regions;

/// Environment variable that names the settings file.
pub const PATH_VARIABLE: &str = "CHICORYARCH_SETTINGS";
/// Path of the settings file if the environment variable is not set.
pub const DEFAULT_PATH: &str = "/etc/chicoryarch/settings.conf";

/// Fields that the gateway or archive role reads.
const KNOWN_FIELDS: [&str; 34] = [
    "bootstrap",
    "bounds.catch_up_s",
    "bounds.cold_overshoot",
    "bounds.cold_slack",
    "bounds.drain_ms",
    "bounds.evacuate_ms",
    "bounds.grace_s",
    "contracts",
    "data_dir",
    "door.body_pause_ms",
    "door.head_time_ms",
    "door.max_fields",
    "door.read_buffer",
    "door.read_pause_ms",
    "door.receive_buffer",
    "door.send_buffer",
    "door.stuck_time_ms",
    "fault_tolerance.machines",
    "fault_tolerance.zones",
    "ip",
    "limits.disk_mb",
    "limits.max_fds",
    "limits.memory_mb",
    "listen.control",
    "listen.front",
    "listen.ready",
    "node_name",
    "port_range",
    "provider.address",
    "provider.value_bytes",
    "provider.writes_per_s",
    "region",
    "seeds",
    "zone",
];

/// Prefix of the fields that give the region of a data centre.
const REGION_PREFIX: &str = "zones.";

/// Contract of deployments whose load may exceed the engines, which differ and
/// change in speed.
const UNEVEN_LOAD_CONTRACT: &str = "pressure";

/// Why the settings are rejected.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the platform's settings {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// I/O error of the read.
        source: std::io::Error,
    },
    /// A field that the role requires is missing or empty.
    #[error("the platform's settings are missing `{0}`")]
    Missing(&'static str),
    /// The value of a field cannot be parsed.
    #[error("invalid value in the platform's settings: `{field}={value}`")]
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// Value as written in the file.
        value: String,
    },
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Returns the path of the settings file: the value of [`PATH_VARIABLE`], or
/// [`DEFAULT_PATH`].
pub fn path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
}

/// Reads the settings file.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`] if the file cannot be read.
pub fn read(path: &Path) -> Result<Fields> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    Ok(Fields::parse(&text))
}

/// Fields of a settings file, by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(HashMap<String, String>);

impl Fields {
    /// Parses the text of a settings file; lines without `=` are ignored.
    pub fn parse(text: &str) -> Self {
        let fields = text.lines().filter_map(|line| {
            let (name, value) = line.split_once('=')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        Self(fields.collect())
    }

    /// Whether the settings name a data folder.
    pub fn has_disk(&self) -> bool {
        self.text("data_dir").is_ok()
    }

    /// Names of the fields that no role reads, sorted.
    pub fn unused_names(&self) -> Vec<&str> {
        let names = self.0.keys().map(String::as_str);
        let mut unused: Vec<&str> = names
            .filter(|name| !KNOWN_FIELDS.contains(name) && !name.starts_with(REGION_PREFIX))
            .collect();
        unused.sort_unstable();
        unused
    }

    fn text(&self, field: &'static str) -> Result<&str> {
        self.0
            .get(field)
            .map(String::as_str)
            .filter(|value| !value.is_empty())
            .ok_or(SettingsError::Missing(field))
    }

    fn required<T: FromStr>(&self, field: &'static str) -> Result<T> {
        let value = self.text(field)?;
        value.parse().map_err(|_| SettingsError::Invalid {
            field,
            value: value.to_owned(),
        })
    }

    fn optional<T: FromStr>(&self, field: &'static str) -> Result<Option<T>> {
        match self.required(field) {
            Ok(value) => Ok(Some(value)),
            Err(SettingsError::Missing(_)) => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn millis(&self, field: &'static str, default: Duration) -> Result<Duration> {
        Ok(self.optional(field)?.map_or(default, Duration::from_millis))
    }

    /// Reads a number of seconds; `default` if the field is missing, or negative or
    /// too large for a duration.
    fn seconds(&self, field: &'static str, default: Duration) -> Result<Duration> {
        let seconds: Option<f64> = self.optional(field)?;
        Ok(seconds
            .and_then(|s| Duration::try_from_secs_f64(s).ok())
            .unwrap_or(default))
    }

    fn addresses(&self, field: &'static str) -> Result<Vec<SocketAddr>> {
        let Ok(text) = self.text(field) else {
            return Ok(Vec::new());
        };
        let parse = |part: &str| {
            part.trim().parse().map_err(|_| SettingsError::Invalid {
                field,
                value: part.to_owned(),
            })
        };
        text.split(',').map(parse).collect()
    }

    fn place(&self) -> Result<HostPlace> {
        Ok(HostPlace {
            host: self.required("node_name")?,
            data_centre: self.required("zone")?,
            first_start: self.optional("bootstrap")?.unwrap_or(false),
        })
    }

    /// Reads the regions of the data centres.
    ///
    /// # Errors
    ///
    /// If the host's own data centre is missing.
    pub fn regions(&self) -> Result<Regions> {
        let listed = self.0.iter().filter_map(|(name, region)| {
            let data_centre = name.strip_prefix(REGION_PREFIX)?;
            (!region.is_empty()).then(|| (data_centre.into(), region.as_str().into()))
        });
        let own = self.text("region").ok().map(Box::from);
        Ok(Regions::new(&self.required("zone")?, own, listed.collect()))
    }

    fn store(&self) -> Result<StoreConfig> {
        let default = StoreConfig::default();
        Ok(StoreConfig {
            address: self.required("provider.address")?,
            writes_per_s: self
                .optional("provider.writes_per_s")?
                .unwrap_or(default.writes_per_s),
            max_value_bytes: self
                .optional("provider.value_bytes")?
                .unwrap_or(default.max_value_bytes),
            ..default
        })
    }

    /// Builds the configuration of a host that serves callers.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the name of the field that is missing or
    /// invalid.
    pub fn gateway(&self) -> Result<GatewayConfig> {
        let default = GatewayConfig::default();
        Ok(GatewayConfig {
            place: self.place()?,
            regions: self.regions()?,
            callers: self.required("listen.front")?,
            ready: self.required("listen.ready")?,
            peers: self.required("listen.control")?,
            seeds: self.addresses("seeds")?,
            store: self.store()?,
            memory_bytes: self
                .optional::<u64>("limits.memory_mb")?
                .map_or(default.memory_bytes, |mb| mb << 20),
            grace: self.seconds("bounds.grace_s", default.grace)?,
            lapse_grace: self.millis("bounds.drain_ms", default.lapse_grace)?,
            fault_tolerance: self.fault_tolerance()?,
            evacuation: self
                .optional("bounds.evacuate_ms")?
                .map(Duration::from_millis),
            cold_overshoot: self
                .optional("bounds.cold_overshoot")?
                .unwrap_or(default.cold_overshoot),
            cold_slack: self
                .optional("bounds.cold_slack")?
                .unwrap_or(default.cold_slack),
            max_descriptors: self
                .optional("limits.max_fds")?
                .unwrap_or(default.max_descriptors),
            balance: self
                .has_contract(UNEVEN_LOAD_CONTRACT)
                .then(BalanceConfig::default),
            door: self.door()?,
            ..default
        })
    }

    /// Whether the deployment has agreed on a kind of load or service.
    fn has_contract(&self, name: &str) -> bool {
        let contracts = self.text("contracts").unwrap_or_default();
        contracts.split(',').any(|contract| contract.trim() == name)
    }

    fn door(&self) -> Result<DoorConfig> {
        let default = DoorConfig::default();
        let number = |field, default| Ok(self.optional(field)?.unwrap_or(default));
        Ok(DoorConfig {
            head_time: self.millis("door.head_time_ms", default.head_time)?,
            body_pause: self.millis("door.body_pause_ms", default.body_pause)?,
            read_pause: self.millis("door.read_pause_ms", default.read_pause)?,
            stuck_time: self.millis("door.stuck_time_ms", default.stuck_time)?,
            max_fields: number("door.max_fields", default.max_fields)?,
            read_buffer: number("door.read_buffer", default.read_buffer)?,
            receive_buffer: number("door.receive_buffer", default.receive_buffer)?,
            send_buffer: number("door.send_buffer", default.send_buffer)?,
        })
    }

    fn fault_tolerance(&self) -> Result<FaultTolerance> {
        let default = FaultTolerance::default();
        Ok(FaultTolerance {
            hosts: self
                .optional("fault_tolerance.machines")?
                .unwrap_or(default.hosts),
            data_centres: self
                .optional("fault_tolerance.zones")?
                .unwrap_or(default.data_centres),
        })
    }

    /// Returns the address for other hosts on the first of the ports that the
    /// platform leaves to the scheduler; `None` if the settings name none.
    fn first_free_port(&self) -> Result<Option<SocketAddr>> {
        let Some(ip) = self.optional::<IpAddr>("ip")? else {
            return Ok(None);
        };
        let Some(range) = self.optional::<String>("port_range")? else {
            return Ok(None);
        };
        let first = range.split(',').next().unwrap_or_default().trim();
        let port = first.parse().map_err(|_| SettingsError::Invalid {
            field: "port_range",
            value: range.clone(),
        })?;
        Ok(Some(SocketAddr::new(ip, port)))
    }

    /// Builds the configuration of a host that stores the archive.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the name of the field that is missing or
    /// invalid.
    pub fn archive(&self) -> Result<ArchiveConfig> {
        let default = ArchiveConfig::default();
        Ok(ArchiveConfig {
            place: self.place()?,
            regions: self.regions()?,
            store: self.store()?,
            folder: self.required("data_dir")?,
            address: self.first_free_port()?,
            fault_tolerance: self.fault_tolerance()?,
            catch_up: self.seconds("bounds.catch_up_s", default.catch_up)?,
            memory_bytes: self
                .optional::<u64>("limits.memory_mb")?
                .map_or(default.memory_bytes, |mb| mb << 20),
            disk_bytes: self
                .optional::<u64>("limits.disk_mb")?
                .map_or(default.disk_bytes, |mb| mb << 20),
            max_descriptors: self
                .optional("limits.max_fds")?
                .unwrap_or(default.max_descriptors),
            door: self.door()?,
            ..default
        })
    }
}
