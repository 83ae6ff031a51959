//! Data centres whose endpoints the operators have asked to leave idle.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::ListKind;
use crate::connection::platform::Object;
use crate::platform::kinds;

/// The evacuations, each by the name of its data centre.
#[derive(Debug)]
pub struct Evacuations;

/// The request to evacuate a data centre. Its name says everything; its contents
/// change nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Whether the contents of the entry are no JSON object, as the platform
    /// describes it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unexpected: bool,
}

impl ListKind for Evacuations {
    const KIND: &'static str = kinds::EVACUATIONS;
    const NAME: &'static str = "evacuations";
    type Entry = Evacuation;

    fn decode(object: &Object) -> Option<Evacuation> {
        let contents = serde_json::from_slice::<Map<String, Value>>(&object.value);
        Some(Evacuation {
            is_unexpected: contents.is_err(),
        })
    }
}
