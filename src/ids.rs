//! Identifiers: validated names, program ids and counters.

use std::fmt;
use std::str::FromStr;
use std::sync::LazyLock;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 63;

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum IdError {
    /// The text is empty, too long or contains other characters than lower-case
    /// letters, digits and inner dashes.
    #[error("`{0}` is not a name: 1 to 63 lower-case letters, digits and inner dashes")]
    Name(String),
    /// The text is not of the form `data_centre.partition.random`.
    #[error("`{0}` is not a program id: data_centre.partition.random is expected")]
    Program(String),
}

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, IdError>;

fn check_name(text: &str) -> Result<()> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let edges_valid = !text.starts_with('-') && !text.ends_with('-');
    let length_valid = (1..=MAX_NAME_BYTES).contains(&text.len());
    if length_valid && edges_valid && text.bytes().all(is_allowed) {
        Ok(())
    } else {
        Err(IdError::Name(text.to_owned()))
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

name! {
    /// Name of a customer.
    CustomerId
}
name! {
    /// Name of a data centre.
    DataCentre
}
name! {
    /// Name of an endpoint: a model engine or one instance of a plain service.
    EndpointId
}
name! {
    /// Name of a host: a process of the scheduler.
    HostId
}
name! {
    /// Name of a caller's key; not the secret.
    KeyId
}
name! {
    /// Name of a service; the first segment of a call's path.
    ServiceId
}

impl CustomerId {
    /// Returns the reserved customer that calls to open services are charged
    /// to.
    pub fn open() -> &'static Self {
        static OPEN: LazyLock<CustomerId> = LazyLock::new(|| CustomerId("open".into()));
        &OPEN
    }
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            serde::Deserialize,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the value plus one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter! {
    /// Fencing token of a partition's owner; increases with every takeover.
    Epoch
}
counter! {
    /// Start number of a host's process; increases with every start.
    Incarnation
}
counter! {
    /// Position of a call within its program; the first is 1.
    Ordinal
}
counter! {
    /// Number of a host's heartbeat within its incarnation.
    Sequence
}
counter! {
    /// Version of a platform object; increases with every write and is never 0.
    Version
}

/// Number of a partition within its data centre.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    serde::Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Partition(pub u16);

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Id of a program: home data centre, partition and a random part.
///
/// Any host can route a call by the id alone, without a lookup.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct ProgramId {
    /// Home data centre, whose table lists the owner of the partition.
    pub data_centre: DataCentre,
    /// Partition that stores the program.
    pub partition: Partition,
    /// Random part that makes the id unique and hard to guess.
    pub random: u64,
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{:016x}",
            self.data_centre, self.partition, self.random
        )
    }
}

impl FromStr for ProgramId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || IdError::Program(text.to_owned());
        let mut parts = text.split('.');
        let data_centre = parts.next().ok_or_else(invalid)?;
        let partition = parts.next().ok_or_else(invalid)?;
        let random = parts.next().ok_or_else(invalid)?;
        if parts.next().is_some() || random.len() != 16 {
            return Err(invalid());
        }
        let id = Self {
            data_centre: data_centre.parse().map_err(|_| invalid())?,
            partition: Partition(partition.parse().map_err(|_| invalid())?),
            random: u64::from_str_radix(random, 16).map_err(|_| invalid())?,
        };
        // Only the canonical form is accepted, so that each program has one id.
        if id.to_string() == text {
            Ok(id)
        } else {
            Err(invalid())
        }
    }
}
