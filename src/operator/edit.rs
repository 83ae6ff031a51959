//! Sets fields of configuration objects from assignments in a command.

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

/// A configuration object whose fields can be set by commands.
pub(super) trait Editable: Bounded + Clone {
    /// Names of the fields that can be set.
    const FIELDS: &'static [&'static str];

    /// Names of the fields that `create` must set.
    const REQUIRED: &'static [&'static str];

    /// Returns an object with default values, before its required fields are
    /// set.
    fn template() -> Self;

    /// Parses `value` and sets `field`, which is one of [`Self::FIELDS`].
    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()>;
}

/// Builds a new object; errors if a required field is missing or a value is
/// invalid.
pub(super) fn create<T: Editable>(fields: &[Assignment]) -> Result<T> {
    for required in T::REQUIRED {
        let sets_required = |assignment: &Assignment| assignment.field.value == *required;
        if !fields.iter().any(sets_required) {
            let message = format!("the field `{required}` is missing");
            let help = format!("required are: {}", T::REQUIRED.join(", "));
            return Err(Report::new(Failure::Invalid, message).with_help(help));
        }
    }
    change(T::template(), fields)
}

/// Returns the object with the fields set; errors if a field is unknown, set
/// twice or invalid.
pub(super) fn change<T: Editable>(mut value: T, fields: &[Assignment]) -> Result<T> {
    let mut seen = BTreeSet::new();
    for Assignment { field, value: text } in fields {
        if !T::FIELDS.contains(&field.value.as_str()) {
            return Err(unknown_field_report::<T>(field));
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

fn unknown_field_report<T: Editable>(field: &Spanned<String>) -> Report {
    let message = format!("there is no field `{}`", field.value);
    let expected = format!("expected one of {}", T::FIELDS.join(", "));
    Report::invalid(field.span, message, expected)
}

fn check_bounds<T: Editable>(value: &T, fields: &[Assignment]) -> Result<()> {
    let Err(e) = value.check() else {
        return Ok(());
    };
    let is_invalid_field = |assignment: &&Assignment| assignment.field.value == e.field;
    let span = fields
        .iter()
        .find(is_invalid_field)
        .map(|found| found.value.span);
    let expected = format!("expected {}", e.expected);
    let message = format!("`{}` is out of bounds", e.field);
    Err(match span {
        Some(span) => Report::invalid(span, message, expected),
        None => Report::new(Failure::Invalid, e.to_string()),
    })
}

fn parse_value<T: FromStr>(value: &Spanned<String>, expected: &str) -> Result<T> {
    value
        .value
        .parse()
        .map_err(|_| invalid_value_report(value.span, &value.value, expected))
}

fn invalid_value_report(span: Span, text: &str, expected: &str) -> Report {
    let message = format!("`{text}` does not fit the field");
    Report::invalid(span, message, format!("expected {expected}"))
}

fn parse_flag(value: &Spanned<String>) -> Result<bool> {
    parse_value(value, "true or false")
}

fn parse_number(value: &Spanned<String>) -> Result<f64> {
    parse_value(value, "a number")
}

fn parse_tokens(value: &Spanned<String>) -> Result<Tokens> {
    parse_value(value, "a number of tokens").map(Tokens)
}

/// Parses a comma-separated list; an empty text gives an empty list.
fn parse_list<T>(
    value: &Spanned<String>,
    expected: &str,
    parse_item: impl Fn(&str) -> Option<T>,
) -> Result<Vec<T>> {
    let items = value.value.split(',').filter(|text| !text.is_empty());
    items
        .map(|text| {
            parse_item(text).ok_or_else(|| invalid_value_report(value.span, text, expected))
        })
        .collect()
}

fn parse_share(text: &str) -> Option<(DataCentre, f64)> {
    let (data_centre, share) = text.split_once(':')?;
    Some((data_centre.parse().ok()?, share.parse().ok()?))
}

impl Editable for Customer {
    const FIELDS: &'static [&'static str] = &["rate", "burst", "weight", "max_budget", "shares"];
    const REQUIRED: &'static [&'static str] = &[];

    fn template() -> Self {
        Self::default()
    }

    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()> {
        match field {
            "rate" => self.rate = parse_number(value)?,
            "burst" => self.burst = parse_number(value)?,
            "weight" => self.weight = parse_number(value)?,
            "max_budget" => self.max_budget = parse_tokens(value)?,
            _ => {
                let shares = parse_list(value, "data_centre:fraction,...", parse_share)?;
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

    fn template() -> Self {
        Self::default()
    }

    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()> {
        match field {
            "kind" => self.kind = parse_service_kind(value)?,
            "open" => self.open = parse_flag(value)?,
            "repeatable" => self.repeatable = parse_flag(value)?,
            "interactive" => self.interactive = parse_flag(value)?,
            "deadline_ms" => {
                self.deadline = Duration::from_millis(parse_value(value, "milliseconds")?);
            }
            _ => self.cost = parse_tokens(value)?,
        }
        Ok(())
    }
}

fn parse_service_kind(value: &Spanned<String>) -> Result<ServiceKind> {
    match value.value.as_str() {
        "model" => Ok(ServiceKind::Model),
        "plain" => Ok(ServiceKind::Plain),
        text => Err(invalid_value_report(value.span, text, "model or plain")),
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

    fn template() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            data_centre: "unset"
                .parse()
                .expect("`unset` is a valid data centre name"),
            services: BTreeSet::new(),
            concurrency: DEFAULT_CONCURRENCY,
            checks_fence: false,
            state: EndpointState::Serving,
            host: None,
        }
    }

    fn set(&mut self, field: &str, value: &Spanned<String>) -> Result<()> {
        match field {
            "address" => self.address = parse_value(value, "address:port")?,
            "data_centre" => self.data_centre = parse_value(value, "a data centre's name")?,
            "services" => {
                let services = parse_list(value, "names of services", |text| text.parse().ok())?;
                self.services = BTreeSet::from_iter(services);
            }
            "concurrency" => self.concurrency = parse_value(value, "a whole number")?,
            "host" => self.host = Some(value.value.clone()),
            _ => self.checks_fence = parse_flag(value)?,
        }
        Ok(())
    }
}
