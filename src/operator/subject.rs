//! What can be shown, and the typed rows of each.

use serde::Deserialize;
use serde::Serialize;

use super::table::Column;
use super::table::Field;
use super::table::Row;

/// A kind of rows; the text is the one in a query.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// Changes of configuration, with who made them.
    Audit,
    /// Budgets of programs.
    Budgets,
    /// Calls that run.
    Calls,
    /// Customers.
    Customers,
    /// Data centres.
    DataCentres,
    /// Endpoints.
    Endpoints,
    /// Hosts of the scheduler.
    Hosts,
    /// Callers' keys, never their secrets.
    Keys,
    /// Programs that are open.
    Programs,
    /// Rates with the tokens left.
    Rates,
    /// Services.
    Services,
    /// Configuration that each host applies.
    Versions,
    /// Calls that wait, and why.
    Waiting,
}

impl Subject {
    /// Every subject, by name.
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

    /// The name in a query.
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

    /// True if each host holds a part of the rows; otherwise every host holds
    /// all of them as configuration.
    pub const fn is_spread(self) -> bool {
        !matches!(
            self,
            Self::Audit | Self::Customers | Self::Endpoints | Self::Keys | Self::Services
        )
    }

    /// The columns of its rows.
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
            /// Its columns, in order.
            pub const COLUMNS: &'static [Column] = &[
                $(Column::new(stringify!($field), <$type as Field>::FORM),)*
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
    /// One change of configuration.
    AuditRow {
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
        /// Who made it.
        actor: String,
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Version it was made to.
        old: Option<u64>,
        /// Version it gave; absent while a withdrawal is not yet recorded.
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
        /// Granted when it was opened.
        budget: u64,
        /// Reserved so far.
        reserved: u64,
        /// Spent so far.
        spent: u64,
        /// Host that owns it.
        host: String,
    }
}
row! {
    /// A call that runs.
    CallRow {
        /// Its program.
        program: String,
        /// Its position in the program.
        call: u64,
        /// Its customer.
        customer: String,
        /// The service called.
        service: String,
        /// The endpoint that runs it.
        endpoint: String,
        /// Milliseconds since its receipt.
        age_ms: u64,
        /// Host that owns it.
        host: String,
    }
}
row! {
    /// A customer.
    CustomerRow {
        /// Its name.
        customer: String,
        /// Calls a second.
        rate: f64,
        /// Calls at once.
        burst: f64,
        /// Share of contended capacity.
        weight: f64,
        /// Largest budget of a program, in tokens.
        max_budget: u64,
        /// Fraction of the rate by data centre.
        shares: String,
        /// Version of its configuration.
        version: u64,
    }
}
row! {
    /// A data centre, as one host sees it.
    DataCentreRow {
        /// Its name.
        data_centre: String,
        /// Its live hosts.
        live: u64,
        /// Its partitions that have an owner.
        owned: u64,
        /// Its partitions.
        partitions: u64,
        /// True if the host reaches it.
        reachable: bool,
        /// The host that sees it so.
        host: String,
    }
}
row! {
    /// An endpoint.
    EndpointRow {
        /// Its name.
        endpoint: String,
        /// Where it listens.
        address: String,
        /// Its data centre.
        data_centre: String,
        /// Services it serves.
        services: String,
        /// Calls it runs at once.
        concurrency: u64,
        /// True if it refuses old fencing numbers.
        checks_fence: bool,
        /// Whether it takes new work.
        state: String,
        /// Version of its configuration.
        version: u64,
    }
}
row! {
    /// A host, as it tells of itself.
    HostRow {
        /// Its name.
        host: String,
        /// Its data centre.
        data_centre: String,
        /// Where it listens for peers.
        address: String,
        /// Whether it starts, serves or drains.
        state: String,
        /// Start number of its process.
        incarnation: u64,
        /// Partitions it owns.
        partitions: u64,
        /// Programs it owns.
        programs: u64,
    }
}
row! {
    /// A caller's key.
    KeyRow {
        /// Its customer.
        customer: String,
        /// Its name.
        key: String,
        /// True once withdrawn.
        withdrawn: bool,
        /// False while the platform does not hold its withdrawal.
        recorded: bool,
    }
}
row! {
    /// A program.
    ProgramRow {
        /// Its id.
        program: String,
        /// Its customer.
        customer: String,
        /// Calls completed.
        calls: u64,
        /// Calls that run or wait.
        open_calls: u64,
        /// Tokens spent.
        spent: u64,
        /// Milliseconds since it was opened.
        age_ms: u64,
        /// Host that owns it.
        host: String,
    }
}
row! {
    /// A customer's tokens at one data centre.
    RateRow {
        /// The customer.
        customer: String,
        /// The data centre.
        data_centre: String,
        /// Calls a second refilled there.
        rate: f64,
        /// Tokens left there.
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
        /// Kind of its endpoints.
        kind: String,
        /// True if no key is needed.
        open: bool,
        /// True if a call may run more than once.
        repeatable: bool,
        /// True if it uses the reserved capacity.
        interactive: bool,
        /// Longest time of a call, in milliseconds.
        deadline_ms: u64,
        /// Tokens of one call.
        cost: u64,
        /// Endpoints that serve it.
        endpoints: u64,
        /// Version of its configuration.
        version: u64,
    }
}
row! {
    /// What one host applies.
    VersionRow {
        /// The host.
        host: String,
        /// Its data centre.
        data_centre: String,
        /// Highest version applied.
        version: u64,
        /// Objects applied.
        objects: u64,
        /// Keys withdrawn.
        withdrawn: u64,
        /// Withdrawals that the platform does not hold yet.
        unrecorded: u64,
        /// Digest of all versions and withdrawals.
        digest: String,
        /// How much the configuration can be relied on.
        standing: String,
    }
}
row! {
    /// A call that waits.
    WaitingRow {
        /// Its program.
        program: String,
        /// Its position in the program.
        call: u64,
        /// Its customer.
        customer: String,
        /// The service called.
        service: String,
        /// What it waits for.
        reason: String,
        /// Milliseconds since it began to wait.
        waited_ms: u64,
        /// Host at which it waits.
        host: String,
    }
}
