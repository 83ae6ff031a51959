//! Subjects of queries and their typed rows.

use serde::Deserialize;
use serde::Serialize;

use super::table::Column;
use super::table::Field;
use super::table::Row;

/// Kind of rows that a query returns.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// Audit records of configuration changes.
    Audit,
    /// Token budgets of programs.
    Budgets,
    /// Running calls.
    Calls,
    /// Customers.
    Customers,
    /// Data centres.
    DataCentres,
    /// Endpoints.
    Endpoints,
    /// Scheduler hosts.
    Hosts,
    /// Caller keys, without their secrets.
    Keys,
    /// Open programs.
    Programs,
    /// Rate limits of customers and their remaining tokens.
    Rates,
    /// Services.
    Services,
    /// Configuration version in force at each host.
    Versions,
    /// Waiting calls and what they wait for.
    Waiting,
}

impl Subject {
    /// All subjects, sorted by name.
    pub const ALL: [Self; 13] = [
        Self::Audit,
        Self::Budgets,
        Self::Calls,
        Self::Customers,
        Self::DataCentres,
        Self::Endpoints,
        Self::Hosts,
        Self::Keys,
        Self::Programs,
        Self::Rates,
        Self::Services,
        Self::Versions,
        Self::Waiting,
    ];

    /// Returns the name used in queries.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Audit => "audit",
            Self::Budgets => "budgets",
            Self::Calls => "calls",
            Self::Customers => "customers",
            Self::DataCentres => "data_centres",
            Self::Endpoints => "endpoints",
            Self::Hosts => "hosts",
            Self::Keys => "keys",
            Self::Programs => "programs",
            Self::Rates => "rates",
            Self::Services => "services",
            Self::Versions => "versions",
            Self::Waiting => "waiting",
        }
    }

    /// Whether each host has only a part of the rows. Otherwise the rows come from
    /// the configuration, which every host has in full.
    pub const fn is_per_host(self) -> bool {
        !matches!(
            self,
            Self::Audit | Self::Customers | Self::Endpoints | Self::Keys | Self::Services
        )
    }

    /// Returns the columns of the subject's rows.
    pub const fn columns(self) -> &'static [Column] {
        match self {
            Self::Audit => AuditRow::COLUMNS,
            Self::Budgets => BudgetRow::COLUMNS,
            Self::Calls => CallRow::COLUMNS,
            Self::Customers => CustomerRow::COLUMNS,
            Self::DataCentres => DataCentreRow::COLUMNS,
            Self::Endpoints => EndpointRow::COLUMNS,
            Self::Hosts => HostRow::COLUMNS,
            Self::Keys => KeyRow::COLUMNS,
            Self::Programs => ProgramRow::COLUMNS,
            Self::Rates => RateRow::COLUMNS,
            Self::Services => ServiceRow::COLUMNS,
            Self::Versions => VersionRow::COLUMNS,
            Self::Waiting => WaitingRow::COLUMNS,
        }
    }
}

macro_rules! row {
    (
        $(#[$doc:meta])*
        $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty,)* }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }

        impl $name {
            /// Columns of the row, in order.
            pub const COLUMNS: &'static [Column] = &[
                $(Column::new(stringify!($field), <$type as Field>::COLUMN_TYPE),)*
            ];
        }

        impl From<$name> for Row {
            fn from(row: $name) -> Self {
                Self(vec![$(row.$field.into_cell(),)*])
            }
        }
    };
}

row! {
    /// A configuration change.
    AuditRow {
        /// Time of the change, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Name of the operator who made the change.
        actor: String,
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Version before the change; absent for a creation or an unrecorded
        /// withdrawal.
        old: Option<u64>,
        /// Version after the change; absent for an unrecorded withdrawal.
        new: Option<u64>,
        /// Text of the command.
        command: String,
    }
}
row! {
    /// The budget of one program, in tokens.
    BudgetRow {
        /// The program.
        program: String,
        /// Its customer.
        customer: String,
        /// Tokens granted when the program was opened.
        budget: u64,
        /// Tokens reserved so far.
        reserved: u64,
        /// Tokens spent so far.
        spent: u64,
        /// Host that owns the program.
        host: String,
    }
}
row! {
    /// A running call.
    CallRow {
        /// Program of the call.
        program: String,
        /// Position of the call in the program.
        call: u64,
        /// Its customer.
        customer: String,
        /// The service called.
        service: String,
        /// The endpoint that runs the call.
        endpoint: String,
        /// Milliseconds since the call was received.
        age_ms: u64,
        /// Host that owns the program.
        host: String,
    }
}
row! {
    /// A customer.
    CustomerRow {
        /// Its name.
        customer: String,
        /// Calls per second.
        rate: f64,
        /// Maximum burst, in calls.
        burst: f64,
        /// Weight for sharing contended capacity.
        weight: f64,
        /// Largest budget of a program, in tokens.
        max_budget: u64,
        /// Fraction of the rate per data centre, as `data_centre:fraction,...`.
        shares: String,
        /// Version of the configuration object.
        version: u64,
    }
}
row! {
    /// A data centre, as seen by one host.
    DataCentreRow {
        /// Its name.
        data_centre: String,
        /// Number of live hosts.
        live: u64,
        /// Number of partitions with an owner.
        owned: u64,
        /// Number of partitions.
        partitions: u64,
        /// Whether the reporting host can reach the data centre.
        reachable: bool,
        /// Reporting host.
        host: String,
    }
}
row! {
    /// An endpoint.
    EndpointRow {
        /// Its name.
        endpoint: String,
        /// Address and port.
        address: String,
        /// Its data centre.
        data_centre: String,
        /// Services it serves, separated by commas.
        services: String,
        /// Maximum number of concurrent calls.
        concurrency: u64,
        /// Whether the endpoint rejects outdated fencing tokens.
        checks_fence: bool,
        /// `serving`, or `leaving` if it accepts no new calls.
        state: String,
        /// Version of the configuration object.
        version: u64,
    }
}
row! {
    /// A scheduler host, as reported by itself.
    HostRow {
        /// Its name.
        host: String,
        /// Its data centre.
        data_centre: String,
        /// Address of its peer port.
        address: String,
        /// Whether the host is starting, serving or draining.
        state: String,
        /// Incarnation number of its process.
        incarnation: u64,
        /// Number of partitions it owns.
        partitions: u64,
        /// Number of programs it owns.
        programs: u64,
    }
}
row! {
    /// A caller key.
    KeyRow {
        /// Its customer.
        customer: String,
        /// Its name.
        key: String,
        /// Whether the key is withdrawn.
        withdrawn: bool,
        /// False while the withdrawal is not yet recorded by the platform.
        recorded: bool,
    }
}
row! {
    /// An open program.
    ProgramRow {
        /// Its id.
        program: String,
        /// Its customer.
        customer: String,
        /// Number of completed calls.
        calls: u64,
        /// Number of running and waiting calls.
        open_calls: u64,
        /// Tokens spent.
        spent: u64,
        /// Milliseconds since the program was opened.
        age_ms: u64,
        /// Host that owns the program.
        host: String,
    }
}
row! {
    /// Rate limit of a customer in one data centre.
    RateRow {
        /// The customer.
        customer: String,
        /// The data centre.
        data_centre: String,
        /// Refill of the token bucket, in calls per second.
        rate: f64,
        /// Tokens left in the bucket.
        tokens: f64,
        /// Host that holds the bucket.
        host: String,
    }
}
row! {
    /// A service.
    ServiceRow {
        /// Its name.
        service: String,
        /// `model` or `plain`.
        kind: String,
        /// Whether calls need no key.
        open: bool,
        /// Whether a call may run more than once.
        repeatable: bool,
        /// Whether calls may use the capacity reserved for interactive work.
        interactive: bool,
        /// Deadline of a call, in milliseconds.
        deadline_ms: u64,
        /// Cost of one call, in tokens.
        cost: u64,
        /// Number of endpoints that serve it.
        endpoints: u64,
        /// Version of the configuration object.
        version: u64,
    }
}
row! {
    /// Configuration in force at one host.
    VersionRow {
        /// The host.
        host: String,
        /// Its data centre.
        data_centre: String,
        /// Highest version of any object.
        version: u64,
        /// Number of objects.
        objects: u64,
        /// Number of withdrawn keys.
        withdrawn: u64,
        /// Number of withdrawals not yet recorded by the platform.
        unrecorded: u64,
        /// Digest of all versions and withdrawals.
        digest: String,
        /// `starting` (no configuration yet), `saved` (changes may be missing) or
        /// `current`.
        standing: String,
    }
}
row! {
    /// A waiting call.
    WaitingRow {
        /// Program of the call.
        program: String,
        /// Position of the call in the program.
        call: u64,
        /// Its customer.
        customer: String,
        /// The service called.
        service: String,
        /// What the call waits for.
        reason: String,
        /// Milliseconds since the call began to wait.
        waited_ms: u64,
        /// Host on which the call waits.
        host: String,
    }
}
