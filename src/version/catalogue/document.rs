//! Decoded configuration records.

use std::str::FromStr;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::Item;
use super::ObjectId;
use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::ids::IdError;
use crate::ids::ServiceId;
use crate::version::objects::Bounded;
use crate::version::objects::Change;
use crate::version::objects::Customer;
use crate::version::objects::Endpoint;
use crate::version::objects::HostSetting;
use crate::version::objects::KeySet;
use crate::version::objects::Kind;
use crate::version::objects::OutOfBounds;
use crate::version::objects::Record;
use crate::version::objects::Service;

/// Why an object was not applied.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The record does not have the format of its kind.
    #[error("cannot be decoded: {0}")]
    Decode(#[from] serde_json::Error),
    /// The object's name is not a valid identifier for its kind.
    #[error("has a bad name: {0}")]
    Name(#[from] IdError),
    /// A field is out of bounds.
    #[error("is out of bounds: {0}")]
    Bounds(#[from] OutOfBounds),
}

/// Result of decoding a record.
type Result<T> = std::result::Result<T, DocumentError>;

/// A decoded record with its typed object name.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    /// A customer.
    Customer(CustomerId, Record<Arc<Customer>>),
    /// An endpoint.
    Endpoint(EndpointId, Record<Arc<Endpoint>>),
    /// Operators' setting for a host.
    Host(HostId, Record<HostSetting>),
    /// The keys of a customer.
    Keys(CustomerId, Record<Arc<KeySet>>),
    /// A service.
    Service(ServiceId, Record<Arc<Service>>),
}

impl Document {
    /// Decodes an item and validates its name and fields.
    ///
    /// # Errors
    ///
    /// [`DocumentError`] if the name, the format or a field is invalid.
    pub fn decode(item: &Item) -> Result<Self> {
        let name = item.id.name.as_str();
        let record = &item.record;
        Ok(match item.id.kind {
            Kind::Customer => Self::Customer(FromStr::from_str(name)?, decode_shared(record)?),
            Kind::Endpoint => Self::Endpoint(FromStr::from_str(name)?, decode_shared(record)?),
            Kind::Host => Self::Host(FromStr::from_str(name)?, decode_validated(record)?),
            Kind::Keys => Self::Keys(FromStr::from_str(name)?, decode_shared(record)?),
            Kind::Service => Self::Service(FromStr::from_str(name)?, decode_shared(record)?),
        })
    }

    /// Encodes the record, without the object's name.
    pub fn encode(&self) -> Value {
        let encoded = match self {
            Self::Customer(_, record) => serde_json::to_value(record),
            Self::Endpoint(_, record) => serde_json::to_value(record),
            Self::Host(_, record) => serde_json::to_value(record),
            Self::Keys(_, record) => serde_json::to_value(record),
            Self::Service(_, record) => serde_json::to_value(record),
        };
        encoded.expect("validated records always encode as JSON")
    }

    /// Returns the objects that this one needs in order to take effect.
    pub fn references(&self) -> Vec<ObjectId> {
        match self {
            Self::Keys(customer, _) => vec![ObjectId::new(Kind::Customer, customer.as_str())],
            Self::Endpoint(_, record) => {
                let services = record.value.iter().flat_map(|value| &value.services);
                services
                    .map(|service| ObjectId::new(Kind::Service, service.as_str()))
                    .collect()
            }
            Self::Customer(..) | Self::Host(..) | Self::Service(..) => Vec::new(),
        }
    }

    /// Returns the latest changes of the object, oldest first.
    pub fn changes(&self) -> &[Change] {
        match self {
            Self::Customer(_, record) => &record.changes,
            Self::Endpoint(_, record) => &record.changes,
            Self::Host(_, record) => &record.changes,
            Self::Keys(_, record) => &record.changes,
            Self::Service(_, record) => &record.changes,
        }
    }
}

fn decode_validated<T: Bounded + DeserializeOwned>(record: &Value) -> Result<Record<T>> {
    let record: Record<T> = serde::Deserialize::deserialize(record)?;
    if let Some(value) = &record.value {
        value.check()?;
    }
    Ok(record)
}

fn decode_shared<T: Bounded + DeserializeOwned>(record: &Value) -> Result<Record<Arc<T>>> {
    let record = decode_validated::<T>(record)?;
    Ok(Record {
        value: record.value.map(Arc::new),
        changes: record.changes,
    })
}
