//! Parser of statements.

use std::str::FromStr;
use std::time::Duration;

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::error::ParserError;
use winnow::stream::Location;
use winnow::stream::Stream;
use winnow::token::any;
use winnow::token::literal;
use winnow::token::none_of;
use winnow::token::take_while;

use super::Action;
use super::Assignment;
use super::Command;
use super::Comparison;
use super::Condition;
use super::Options;
use super::Order;
use super::Query;
use super::Retirable;
use super::Span;
use super::Spanned;
use super::Statement;
use super::Target;
use super::Wait;
use crate::ids::IdError;
use crate::ids::Version;
use crate::operator::subject::Subject;
use crate::version::objects::KeyRef;

/// Maximum length of a statement, in bytes.
pub const MAX_STATEMENT_BYTES: usize = 4096;

/// Maximum `wait` of a command, in seconds.
const MAX_WAIT_SECONDS: u64 = 600;

/// Error of a text that is not a valid statement.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("expected {expected}")]
pub struct SyntaxError {
    /// Position of the error in the text.
    pub span: Span,
    /// What the parser expected at that position.
    pub expected: String,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Result of parsing a part of a statement.
type Result<T> = std::result::Result<T, SyntaxError>;

impl ParserError<Input<'_>> for SyntaxError {
    type Inner = Self;

    fn from_input(input: &Input<'_>) -> Self {
        Self::at(input, "a word")
    }

    fn into_inner(self) -> std::result::Result<Self::Inner, Self> {
        Ok(self)
    }
}

impl SyntaxError {
    /// Creates an error at the next word, or at the end of the text.
    fn at(input: &Input<'_>, expected: impl Into<String>) -> Self {
        let start = input.current_token_start();
        let rest: &str = input.as_ref();
        let length = rest.find(char::is_whitespace).unwrap_or(rest.len());
        Self {
            span: Span {
                start,
                end: start + length,
            },
            expected: expected.into(),
        }
    }
}

/// Parses one statement.
///
/// # Errors
///
/// The first syntax error, with its position and what was expected there.
pub fn parse(text: &str) -> Result<Statement> {
    if text.len() > MAX_STATEMENT_BYTES {
        return Err(SyntaxError {
            span: Span {
                start: 0,
                end: text.len(),
            },
            expected: format!("a statement of at most {MAX_STATEMENT_BYTES} bytes"),
        });
    }
    let mut input = LocatingSlice::new(text);
    skip_whitespace(&mut input);
    let statement = statement(&mut input)?;
    let rest: &str = input.as_ref();
    if rest.is_empty() {
        Ok(statement)
    } else {
        Err(SyntaxError::at(&input, expected_after(&statement)))
    }
}

/// Whether the character may appear in an unquoted word.
pub(super) fn is_word_char(c: char) -> bool {
    !c.is_whitespace() && !matches!(c, '"' | '=' | '!' | '<' | '>' | '~')
}

fn expected_after(statement: &Statement) -> &'static str {
    match statement {
        Statement::Command(command) => match command.action {
            Action::Cancel(_) => "the end",
            Action::Withdraw(_) => "`wait` or the end",
            Action::Change(..) | Action::Create(..) => {
                "`field=value`, `if version`, `wait` or the end"
            }
            _ => "`if version`, `wait` or the end",
        },
        Statement::Show(_) => "`where`, `and`, `order by`, `limit` or the end",
    }
}

fn statement(input: &mut Input<'_>) -> Result<Statement> {
    if take_keyword(input, "show") {
        return query(input).map(Statement::Show);
    }
    let action = action(input)?;
    let options = options(input, &action)?;
    Ok(Statement::Command(Command { action, options }))
}

fn query(input: &mut Input<'_>) -> Result<Query> {
    let subject = subject(input)?;
    let conditions = conditions(input)?;
    let order = order(input)?;
    let limit = limit(input)?;
    Ok(Query {
        subject,
        conditions,
        order,
        limit,
    })
}

fn subject(input: &mut Input<'_>) -> Result<Subject> {
    let is_next = |subject: &Subject| take_keyword(input, subject.as_str());
    let found = Subject::ALL.into_iter().find(is_next);
    found.ok_or_else(|| {
        let names: Vec<String> = Subject::ALL.iter().map(quoted_name).collect();
        SyntaxError::at(input, format!("one of {}", names.join(", ")))
    })
}

fn quoted_name(subject: &Subject) -> String {
    format!("`{}`", subject.as_str())
}

fn conditions(input: &mut Input<'_>) -> Result<Vec<Condition>> {
    let mut conditions = Vec::new();
    if !take_keyword(input, "where") {
        return Ok(conditions);
    }
    loop {
        conditions.push(condition(input)?);
        if !take_keyword(input, "and") {
            return Ok(conditions);
        }
    }
}

fn condition(input: &mut Input<'_>) -> Result<Condition> {
    Ok(Condition {
        field: word(input, "a field")?,
        comparison: comparison(input)?,
        value: value(input)?,
    })
}

fn comparison(input: &mut Input<'_>) -> Result<Comparison> {
    for comparison in Comparison::LONGEST_FIRST {
        let found: Result<&str> = comparison.as_str().parse_next(input);
        if found.is_ok() {
            skip_whitespace(input);
            return Ok(comparison);
        }
    }
    Err(SyntaxError::at(
        input,
        "one of `=`, `!=`, `<`, `<=`, `>`, `>=`, `~`",
    ))
}

impl Comparison {
    /// All operators, each before those that are a prefix of it.
    const LONGEST_FIRST: [Self; 7] = [
        Self::NotEqual,
        Self::LessOrEqual,
        Self::GreaterOrEqual,
        Self::Equal,
        Self::Less,
        Self::Greater,
        Self::Contains,
    ];

    /// Returns the operator as written in a query.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Contains => "~",
            Self::Equal => "=",
            Self::Greater => ">",
            Self::GreaterOrEqual => ">=",
            Self::Less => "<",
            Self::LessOrEqual => "<=",
            Self::NotEqual => "!=",
        }
    }
}

fn order(input: &mut Input<'_>) -> Result<Option<Order>> {
    if !take_keyword(input, "order") {
        return Ok(None);
    }
    keyword(input, "by")?;
    let field = word(input, "a field")?;
    let descending = take_keyword(input, "desc");
    if !descending {
        take_keyword(input, "asc");
    }
    Ok(Some(Order { field, descending }))
}

fn limit(input: &mut Input<'_>) -> Result<Option<usize>> {
    if !take_keyword(input, "limit") {
        return Ok(None);
    }
    parse_word(input, "a number of rows").map(Some)
}

fn action(input: &mut Input<'_>) -> Result<Action> {
    if take_keyword(input, "create") {
        return Ok(Action::Create(target(input)?, assignments(input)?));
    }
    if take_keyword(input, "change") {
        return Ok(Action::Change(target(input)?, nonempty_assignments(input)?));
    }
    if take_keyword(input, "remove") {
        return target(input).map(Action::Remove);
    }
    if take_keyword(input, "grant") {
        return key(input).map(Action::Grant);
    }
    if take_keyword(input, "withdraw") {
        return key(input).map(Action::Withdraw);
    }
    if take_keyword(input, "retire") {
        return retirable(input).map(Action::Retire);
    }
    if take_keyword(input, "restore") {
        return retirable(input).map(Action::Restore);
    }
    if take_keyword(input, "cancel") {
        keyword(input, "program")?;
        return id(input).map(Action::Cancel);
    }
    let expected = "one of `show`, `create`, `change`, `remove`, `grant`, `withdraw`, \
                    `retire`, `restore`, `cancel`";
    Err(SyntaxError::at(input, expected))
}

fn target(input: &mut Input<'_>) -> Result<Target> {
    if take_keyword(input, "customer") {
        return id(input).map(Target::Customer);
    }
    if take_keyword(input, "service") {
        return id(input).map(Target::Service);
    }
    if take_keyword(input, "endpoint") {
        return id(input).map(Target::Endpoint);
    }
    let expected = "one of `customer`, `service`, `endpoint`";
    Err(SyntaxError::at(input, expected))
}

fn retirable(input: &mut Input<'_>) -> Result<Retirable> {
    if take_keyword(input, "endpoint") {
        return id(input).map(Retirable::Endpoint);
    }
    if take_keyword(input, "host") {
        return id(input).map(Retirable::Host);
    }
    Err(SyntaxError::at(input, "one of `endpoint`, `host`"))
}

fn key(input: &mut Input<'_>) -> Result<KeyRef> {
    keyword(input, "key")?;
    let key = id(input)?;
    keyword(input, "for")?;
    let customer = id(input)?;
    Ok(KeyRef { customer, key })
}

fn nonempty_assignments(input: &mut Input<'_>) -> Result<Vec<Assignment>> {
    let fields = assignments(input)?;
    if fields.is_empty() {
        return Err(SyntaxError::at(input, "`field=value`"));
    }
    Ok(fields)
}

fn assignments(input: &mut Input<'_>) -> Result<Vec<Assignment>> {
    let mut fields = Vec::new();
    while starts_with_word(input) && !starts_with_option(input) {
        let field = word(input, "a field")?;
        symbol(input, "=")?;
        let value = value(input)?;
        fields.push(Assignment { field, value });
    }
    Ok(fields)
}

fn options(input: &mut Input<'_>, action: &Action) -> Result<Options> {
    Ok(Options {
        version: version_condition(input, action)?,
        wait: wait(input, action)?,
    })
}

fn version_condition(input: &mut Input<'_>, action: &Action) -> Result<Option<Version>> {
    let has_no_condition = matches!(action, Action::Cancel(_) | Action::Withdraw(_));
    if has_no_condition || !take_keyword(input, "if") {
        return Ok(None);
    }
    keyword(input, "version")?;
    parse_word(input, "a version").map(|version| Some(Version(version)))
}

fn wait(input: &mut Input<'_>, action: &Action) -> Result<Option<Wait>> {
    if matches!(action, Action::Cancel(_)) || !take_keyword(input, "wait") {
        return Ok(None);
    }
    if !starts_with_word(input) {
        return Ok(Some(Wait::Default));
    }
    let start = *input;
    let seconds = parse_word(input, "a number of seconds")?;
    if seconds > MAX_WAIT_SECONDS {
        let expected = format!("at most {MAX_WAIT_SECONDS} seconds");
        return Err(SyntaxError::at(&start, expected));
    }
    Ok(Some(Wait::For(Duration::from_secs(seconds))))
}

fn starts_with_option(input: &Input<'_>) -> bool {
    let mut ahead = *input;
    take_keyword(&mut ahead, "if") || take_keyword(&mut ahead, "wait")
}

fn starts_with_word(input: &Input<'_>) -> bool {
    let rest: &str = input.as_ref();
    rest.chars().next().is_some_and(is_word_char)
}

fn skip_whitespace(input: &mut Input<'_>) {
    let _skipped: Result<&str> = take_while(0.., char::is_whitespace).parse_next(input);
}

/// Consumes the next word if it is the keyword; returns whether it was.
fn take_keyword(input: &mut Input<'_>, expected: &str) -> bool {
    let start = input.checkpoint();
    let taken: Result<&str> = take_while(1.., is_word_char).parse_next(input);
    if taken.is_ok_and(|taken| taken == expected) {
        skip_whitespace(input);
        return true;
    }
    input.reset(&start);
    false
}

fn keyword(input: &mut Input<'_>, expected: &str) -> Result<()> {
    if take_keyword(input, expected) {
        Ok(())
    } else {
        Err(SyntaxError::at(input, format!("`{expected}`")))
    }
}

fn symbol(input: &mut Input<'_>, expected: &str) -> Result<()> {
    let found: Result<&str> = literal(expected).parse_next(input);
    if found.is_err() {
        return Err(SyntaxError::at(input, format!("`{expected}`")));
    }
    skip_whitespace(input);
    Ok(())
}

fn word(input: &mut Input<'_>, expected: &str) -> Result<Spanned<String>> {
    let start = *input;
    let found: Result<(&str, std::ops::Range<usize>)> =
        take_while(1.., is_word_char).with_span().parse_next(input);
    let (text, range) = found.map_err(|_| SyntaxError::at(&start, expected))?;
    skip_whitespace(input);
    Ok(spanned(text.to_owned(), range))
}

fn value(input: &mut Input<'_>) -> Result<Spanned<String>> {
    let start = *input;
    let rest: &str = start.as_ref();
    if !rest.starts_with('"') {
        return word(input, "a value");
    }
    let found: Result<(String, std::ops::Range<usize>)> = quoted.with_span().parse_next(input);
    let (text, range) = found.map_err(|_| SyntaxError::at(&start, "a closing `\"`"))?;
    skip_whitespace(input);
    Ok(spanned(text, range))
}

fn quoted(input: &mut Input<'_>) -> Result<String> {
    let escaped = preceded('\\', any);
    let plain = none_of(['"', '\\']);
    let inner = repeat(0.., alt((escaped, plain)));
    delimited('"', inner, '"').parse_next(input)
}

fn spanned<T>(value: T, range: std::ops::Range<usize>) -> Spanned<T> {
    Spanned {
        value,
        span: Span {
            start: range.start,
            end: range.end,
        },
    }
}

fn id<T: FromStr<Err = IdError>>(input: &mut Input<'_>) -> Result<T> {
    let name = word(input, "a name")?;
    name.value.parse().map_err(|e: IdError| SyntaxError {
        span: name.span,
        expected: match e {
            IdError::Name(_) => "a name of lower-case letters, digits and inner dashes".to_owned(),
            IdError::Program(_) => "a program id: data_centre.partition.random".to_owned(),
        },
    })
}

fn parse_word<T: FromStr>(input: &mut Input<'_>, expected: &str) -> Result<T> {
    let found = word(input, expected)?;
    found.value.parse().map_err(|_| SyntaxError {
        span: found.span,
        expected: expected.to_owned(),
    })
}
