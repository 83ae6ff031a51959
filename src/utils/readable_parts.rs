//! Lists from other programs, of which some parts may be unreadable.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// Adapter for `serde_with` that skips the parts of a JSON list that cannot be
/// read as the list's type, for example since they hold a number out of range.
#[derive(Debug)]
pub struct ReadableParts;

impl<'de, T: DeserializeOwned> DeserializeAs<'de, Vec<T>> for ReadableParts {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Vec<T>, D::Error> {
        let parts = Vec::<Box<RawValue>>::deserialize(deserializer)?;
        let readable = parts
            .iter()
            .filter_map(|part| serde_json::from_str(part.get()).ok());
        Ok(readable.collect())
    }
}

impl<T: Serialize> SerializeAs<Vec<T>> for ReadableParts {
    fn serialize_as<S: Serializer>(parts: &Vec<T>, serializer: S) -> Result<S::Ok, S::Error> {
        parts.serialize(serializer)
    }
}
