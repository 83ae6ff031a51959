//! The archive hosts that keep callers' turns.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::ListKind;
use crate::connection::platform;
use crate::connection::platform::Object;
use crate::ids::DataCentre;
use crate::ids::Incarnation;

/// The list of archive hosts, each by its name.
#[derive(Debug)]
pub struct Archives;

/// Entry that an archive host writes about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArchiveEntry {
    /// Address at which it takes and returns turns.
    pub address: SocketAddr,
    /// Data centre in which it is located.
    pub data_centre: DataCentre,
    /// Identifies the start of its process; a later start has a higher value.
    pub incarnation: Incarnation,
    /// Whether it is being emptied and takes no more turns.
    #[serde(default)]
    pub is_draining: bool,
}

impl ListKind for Archives {
    const KIND: &'static str = "chicoryarch-archives";
    const NAME: &'static str = "archives";
    type Entry = ArchiveEntry;

    fn decode(object: &Object) -> Option<ArchiveEntry> {
        match platform::decode(Self::KIND, object) {
            Ok(entry) => Some(entry),
            Err(e) => {
                log::warn!(
                    "ignoring invalid entry of archive host {}: {e}",
                    object.name
                );
                None
            }
        }
    }
}
