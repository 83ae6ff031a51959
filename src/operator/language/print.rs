//! Prints statements in the syntax that the parser accepts.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result;
use std::fmt::Write;

use super::Action;
use super::Assignment;
use super::Command;
use super::Comparison;
use super::Condition;
use super::Options;
use super::Order;
use super::Query;
use super::Retirable;
use super::Statement;
use super::Target;
use super::Wait;
use super::parse::is_word_char;
use crate::version::objects::KeyRef;

/// Displays a value, quoted and escaped unless it is a single word.
struct Literal<'a>(&'a str);

impl Display for Literal<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        if !self.0.is_empty() && self.0.chars().all(is_word_char) {
            return f.write_str(self.0);
        }
        f.write_char('"')?;
        for c in self.0.chars() {
            if matches!(c, '"' | '\\') {
                f.write_char('\\')?;
            }
            f.write_char(c)?;
        }
        f.write_char('"')
    }
}

impl Display for Statement {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Command(command) => command.fmt(f),
            Self::Show(query) => query.fmt(f),
        }
    }
}

impl Display for Query {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "show {}", self.subject.as_str())?;
        for (index, condition) in self.conditions.iter().enumerate() {
            let keyword = if index == 0 { "where" } else { "and" };
            write!(f, " {keyword} {condition}")?;
        }
        if let Some(order) = &self.order {
            write!(f, " {order}")?;
        }
        match self.limit {
            Some(limit) => write!(f, " limit {limit}"),
            None => Ok(()),
        }
    }
}

impl Display for Condition {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let value = Literal(&self.value.value);
        write!(f, "{} {} {value}", self.field.value, self.comparison)
    }
}

impl Display for Comparison {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(self.as_str())
    }
}

impl Display for Order {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let direction = if self.descending { " desc" } else { "" };
        write!(f, "order by {}{direction}", self.field.value)
    }
}

impl Display for Command {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}{}", self.action, self.options)
    }
}

impl Display for Options {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        if let Some(version) = self.version {
            write!(f, " if version {version}")?;
        }
        match self.wait {
            Some(Wait::Default) => f.write_str(" wait"),
            Some(Wait::For(duration)) => write!(f, " wait {}", duration.as_secs()),
            None => Ok(()),
        }
    }
}

impl Display for Action {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Cancel(program) => write!(f, "cancel program {program}"),
            Self::Change(target, fields) => fmt_assignments(f, "change", target, fields),
            Self::Create(target, fields) => fmt_assignments(f, "create", target, fields),
            Self::Grant(key) => write!(f, "grant {}", KeyClause(key)),
            Self::Remove(target) => write!(f, "remove {target}"),
            Self::Restore(retirable) => write!(f, "restore {retirable}"),
            Self::Retire(retirable) => write!(f, "retire {retirable}"),
            Self::Withdraw(key) => write!(f, "withdraw {}", KeyClause(key)),
        }
    }
}

struct KeyClause<'a>(&'a KeyRef);

impl Display for KeyClause<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "key {} for {}", self.0.key, self.0.customer)
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Customer(id) => write!(f, "customer {id}"),
            Self::Endpoint(id) => write!(f, "endpoint {id}"),
            Self::Service(id) => write!(f, "service {id}"),
        }
    }
}

impl Display for Retirable {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Endpoint(id) => write!(f, "endpoint {id}"),
            Self::Host(id) => write!(f, "host {id}"),
        }
    }
}

fn fmt_assignments(
    f: &mut Formatter<'_>,
    verb: &str,
    target: &Target,
    fields: &[Assignment],
) -> fmt::Result {
    write!(f, "{verb} {target}")?;
    for assignment in fields {
        let value = Literal(&assignment.value.value);
        write!(f, " {}={value}", assignment.field.value)?;
    }
    Ok(())
}
