//! Sets the fields of configuration objects from text.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use super::language::Assignment;
use super::language::Span;
use super::language::Spanned;
use super::report::Failure;
use super::report::Report;
use super::report::Result;
use crate::ids::DataCentre;
use crate::units::Tokens;
use crate::version::objects::Bounded;
use crate::version::objects::Customer;
use crate::version::objects::DEFAULT_CONCURRENCY;
use crate::version::objects::Endpoint;
use crate::version::objects::EndpointState;
use crate::version::objects::Service;
use crate::version::objects::ServiceKind;

/// An object whose fields operators set.
pub(super) trait Editable: Bounded + Clone {
    /// Fields that can be set.
    const FIELDS: &'static [&'static str];

    /// Fields that a new object needs.
    const REQUIRED: &'static [&'static str];

    /// A new object, before its required fields are set.
    fn blank() -> Self;

    /// Sets one of [`Self::FIELDS`].
    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()>;
}

/// A new object with the given fields.
pub(super) fn create<T: Editable>(fields: &[Assignment]) -> Result<T> {
    for required in T::REQUIRED {
        let given = |assignment: &Assignment| assignment.field.value == *required;
        if !fields.iter().any(given) {
            let message = format!("the field `{required}` is missing");
            let help = format!("required are: {}", T::REQUIRED.join(", "));
            return Err(Report::new(Failure::Invalid, message).with_help(help));
        }
    }
    change(T::blank(), fields)
}

/// The object with the given fields changed.
pub(super) fn change<T: Editable>(mut value: T, fields: &[Assignment]) -> Result<T> {
    let mut seen = BTreeSet::new();
    for Assignment { field, value: text } in fields {
        if !T::FIELDS.contains(&field.value.as_str()) {
            return Err(unknown_field::<T>(field));
        }
        if !seen.insert(&field.value) {
            let message = format!("the field `{}` is set twice", field.value);
            return Err(Report::invalid(field.span, message, "set once already"));
        }
        value.set(&field.value, text)?;
    }
    check_bounds(&value, fields)?;
    Ok(value)
}

fn unknown_field<T: Editable>(field: &Spanned<String>) -> Report {
    let message = format!("there is no field `{}`", field.value);
    let expected = format!("expected one of {}", T::FIELDS.join(", "));
    Report::invalid(field.span, message, expected)
}

fn check_bounds<T: Editable>(value: &T, fields: &[Assignment]) -> Result<()> {
    let Err(e) = value.check() else {
        return Ok(());
    };
    let named = |assignment: &&Assignment| assignment.field.value == e.field;
    let span = fields.iter().find(named).map(|found| found.value.span);
    let expected = format!("expected {}", e.expected);
    let message = format!("`{}` is out of bounds", e.field);
    Err(match span {
        Some(span) => Report::invalid(span, message, expected),
        None => Report::new(Failure::Invalid, e.to_string()),
    })
}

fn parse<T: FromStr>(value: &Spanned<String>, expected: &str) -> Result<T> {
    value
        .value
        .parse()
        .map_err(|_| does_not_fit(value.span, &value.value, expected))
}

fn does_not_fit(span: Span, text: &str, expected: &str) -> Report {
    let message = format!("`{text}` does not fit the field");
    Report::invalid(span, message, format!("expected {expected}"))
}

fn flag(value: &Spanned<String>) -> Result<bool> {
    parse(value, "true or false")
}

fn number(value: &Spanned<String>) -> Result<f64> {
    parse(value, "a number")
}

fn tokens(value: &Spanned<String>) -> Result<Tokens> {
    parse(value, "a number of tokens").map(Tokens)
}

/// Parses a list separated by commas; an empty text is an empty list.
fn list<T>(
    value: &Spanned<String>,
    expected: &str,
    part: impl Fn(&str) -> Option<T>,
) -> Result<Vec<T>> {
    let parts = value.value.split(',').filter(|text| !text.is_empty());
    parts
        .map(|text| part(text).ok_or_else(|| does_not_fit(value.span, text, expected)))
        .collect()
}

fn share(text: &str) -> Option<(DataCentre, f64)> {
    let (data_centre, share) = text.split_once(':')?;
    Some((data_centre.parse().ok()?, share.parse().ok()?))
}

impl Editable for Customer {
    const FIELDS: &'static [&'static str] = &["rate", "burst", "weight", "max_budget", "shares"];
    const REQUIRED: &'static [&'static str] = &[];

    fn blank() -> Self {
        Self::default()
    }

    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()> {
        match field {
            "rate" => self.rate = number(value)?,
            "burst" => self.burst = number(value)?,
            "weight" => self.weight = number(value)?,
            "max_budget" => self.max_budget = tokens(value)?,
            _ => {
                let shares = list(value, "data_centre:fraction,...", share)?;
                self.shares = BTreeMap::from_iter(shares);
            }
        }
        Ok(())
    }
}

impl Editable for Service {
    const FIELDS: &'static [&'static str] = &[
        "kind",
        "open",
        "repeatable",
        "interactive",
        "deadline_ms",
        "cost",
    ];
    const REQUIRED: &'static [&'static str] = &["kind"];

    fn blank() -> Self {
        Self::default()
    }

    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()> {
        match field {
            "kind" => self.kind = service_kind(value)?,
            "open" => self.open = flag(value)?,
            "repeatable" => self.repeatable = flag(value)?,
            "interactive" => self.interactive = flag(value)?,
            "deadline_ms" => {
                self.deadline = Duration::from_millis(parse(value, "milliseconds")?);
            }
            _ => self.cost = tokens(value)?,
        }
        Ok(())
    }
}

fn service_kind(value: &Spanned<String>) -> Result<ServiceKind> {
    match value.value.as_str() {
        "model" => Ok(ServiceKind::Model),
        "plain" => Ok(ServiceKind::Plain),
        text => Err(does_not_fit(value.span, text, "model or plain")),
    }
}

impl Editable for Endpoint {
    const FIELDS: &'static [&'static str] = &[
        "address",
        "data_centre",
        "services",
        "concurrency",
        "checks_fence",
        "host",
    ];
    const REQUIRED: &'static [&'static str] = &["address", "data_centre", "services"];

    fn blank() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            data_centre: "unset".parse().expect("a valid name"),
            services: BTreeSet::new(),
            concurrency: DEFAULT_CONCURRENCY,
            checks_fence: false,
            state: EndpointState::Serving,
            host: None,
        }
    }

    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()> {
        match field {
            "address" => self.address = parse(value, "address:port")?,
            "data_centre" => self.data_centre = parse(value, "a data centre's name")?,
            "services" => {
                let services = list(value, "names of services", |text| text.parse().ok())?;
                self.services = BTreeSet::from_iter(services);
            }
            "concurrency" => self.concurrency = parse(value, "a whole number")?,
            "host" => self.host = Some(value.value.clone()),
            _ => self.checks_fence = flag(value)?,
        }
        Ok(())
    }
}
