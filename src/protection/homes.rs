//! Regions in which requests must stay, and what they allow: which engines run a
//! request, which hosts get its body, and which archive hosts keep its turn.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;

/// Regions in which a request must stay. Clones are cheap.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "Vec<Box<str>>", into = "Vec<Box<str>>")]
pub struct Homes(
    /// Names of the regions, sorted; `None` if the request may be anywhere.
    Option<Arc<[Box<str>]>>,
);

impl Homes {
    /// Whether the request may be anywhere.
    pub const fn is_anywhere(&self) -> bool {
        self.0.is_none()
    }

    /// Whether there is no region in which the request may be.
    pub fn is_nowhere(&self) -> bool {
        self.0.as_ref().is_some_and(|regions| regions.is_empty())
    }

    /// Returns the regions in which a request must stay by both.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(_)) => {
                let both = own.iter().filter(|region| other.contains(region));
                Self(Some(both.cloned().collect()))
            }
        }
    }

    /// Names of the regions; none if the request may be anywhere.
    pub fn names(&self) -> &[Box<str>] {
        self.0.as_deref().unwrap_or_default()
    }

    fn contains(&self, region: &str) -> bool {
        self.names().iter().any(|name| **name == *region)
    }
}

/// An empty list means anywhere.
impl From<Vec<Box<str>>> for Homes {
    fn from(mut names: Vec<Box<str>>) -> Self {
        names.sort_unstable();
        names.dedup();
        Self((!names.is_empty()).then(|| names.into()))
    }
}

impl From<Homes> for Vec<Box<str>> {
    fn from(homes: Homes) -> Self {
        homes.names().to_vec()
    }
}

impl fmt::Display for Homes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            None => f.write_str("anywhere"),
            Some(regions) => f.write_str(&regions.join(", ")),
        }
    }
}

/// Regions of the data centres, as a host knows them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Regions {
    own_data_centre: Box<str>,
    by_data_centre: BTreeMap<Box<str>, Box<str>>,
}

impl Regions {
    /// Creates the regions from those that a host's settings list. The host's own
    /// region goes before the one that is listed for its data centre.
    pub fn new(
        data_centre: &DataCentre,
        own: Option<Box<str>>,
        mut by_data_centre: BTreeMap<Box<str>, Box<str>>,
    ) -> Self {
        let own_data_centre: Box<str> = data_centre.as_str().into();
        if let Some(own) = own {
            by_data_centre.insert(own_data_centre.clone(), own);
        }
        Self {
            own_data_centre,
            by_data_centre,
        }
    }

    /// Whether a data centre is known to be in a region.
    pub fn has_data_centre_in(&self, region: &str) -> bool {
        self.by_data_centre.values().any(|known| **known == *region)
    }

    /// Returns the region of a data centre; `None` if it is not known.
    pub fn of(&self, data_centre: &str) -> Option<&str> {
        self.by_data_centre.get(data_centre).map(|region| &**region)
    }

    /// Whether a data centre is in the region of this host, which is that of the
    /// callers connected to it.
    fn is_own(&self, data_centre: &str) -> bool {
        let own = self.of(&self.own_data_centre);
        *data_centre == *self.own_data_centre || (own.is_some() && self.of(data_centre) == own)
    }
}

/// What the homes of a request allow.
#[derive(Clone, Copy, Debug)]
pub struct HomeRule<'a> {
    homes: &'a Homes,
    regions: &'a Regions,
}

impl<'a> HomeRule<'a> {
    /// Creates the rule of a request; `None` if it may be anywhere.
    pub fn new(homes: &'a Homes, regions: &'a Regions) -> Option<Self> {
        (!homes.is_anywhere()).then_some(Self { homes, regions })
    }

    /// Whether a data centre is in a home. One of unknown region is not.
    pub fn contains(self, data_centre: &str) -> bool {
        let region = self.regions.of(data_centre);
        region.is_some_and(|region| self.homes.contains(region))
    }

    /// Whether a host of a data centre may get the body of the request: it is in a
    /// home, or in the region of the caller.
    pub fn may_receive(self, data_centre: &str) -> bool {
        self.contains(data_centre) || self.regions.is_own(data_centre)
    }
}
