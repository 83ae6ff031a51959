//! Identifiers: short checked names, program ids and counters.

use std::fmt;
use std::str::FromStr;
use std::sync::LazyLock;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Why a text is not an identifier.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum IdError {
    /// Not made of lower-case letters, digits and inner dashes.
    #[error("`{0}` is not a name: 1 to 63 lower-case letters, digits and inner dashes")]
    Name(String),
    /// Not of the form `data_centre.partition.random`.
    #[error("`{0}` is not a program id: data_centre.partition.random is expected")]
    Program(String),
}

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, IdError>;

fn check_name(text: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let edges = !text.starts_with('-') && !text.ends_with('-');
    let length = (1..=MAX_NAME_BYTES).contains(&text.len());
    if length && edges && text.bytes().all(allowed) {
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
            /// The name as text.
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
    /// Name of a host of the scheduler.
    HostId
}
name! {
    /// Name of a caller's key, never its secret.
    KeyId
}
name! {
    /// Name of a service, the first segment of a call's path.
    ServiceId
}

impl CustomerId {
    /// Reserved name that calls on open routes are charged to.
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
            /// The next value.
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
    /// Fencing number of a partition's owner; grows with every takeover.
    Epoch
}
counter! {
    /// Start number of a host's process; grows with every start.
    Incarnation
}
counter! {
    /// Position of a call within its program, from 1.
    Ordinal
}
counter! {
    /// Heartbeat sequence of a host within its incarnation.
    Sequence
}
counter! {
    /// Version of a platform object; grows with every write. 0 is never used.
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
/// Any host routes a call by the id alone, without a lookup.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct ProgramId {
    /// Data centre whose table names the owner.
    pub data_centre: DataCentre,
    /// Partition that holds the program.
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
        let wrong = || IdError::Program(text.to_owned());
        let mut parts = text.split('.');
        let data_centre = parts.next().ok_or_else(wrong)?;
        let partition = parts.next().ok_or_else(wrong)?;
        let random = parts.next().ok_or_else(wrong)?;
        if parts.next().is_some() || random.len() != 16 {
            return Err(wrong());
        }
        let id = Self {
            data_centre: data_centre.parse().map_err(|_| wrong())?,
            partition: Partition(partition.parse().map_err(|_| wrong())?),
            random: u64::from_str_radix(random, 16).map_err(|_| wrong())?,
        };
        // Only the canonical spelling is accepted, so that one program has one id.
        if id.to_string() == text {
            Ok(id)
        } else {
            Err(wrong())
        }
    }
}
