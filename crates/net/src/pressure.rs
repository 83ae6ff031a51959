//! Decides which connection of a server is closed: when a limit of its own is
//! reached, or when others need its place or its memory.

use std::time::Duration;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// The peer does not take the bytes of an answer.
    NotReading,
    /// A handler waits for the body of a request.
    ReceivingBody,
    /// A request is running and the peer is not waited for.
    Running,
    /// No request is running.
    Waiting {
        /// Whether a request of the connection has been answered.
        has_served: bool,
        /// Time since the first bytes of a head that is not complete.
        head: Option<Duration>,
    },
}

/// State of a connection at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// What the connection does.
    pub activity: Activity,
    /// Time since bytes were received or sent.
    pub silent_for: Duration,
    /// Time since the connection was opened, a request began or ended, or a
    /// larger number of bytes was received or sent. A peer that sends or reads a
    /// byte at a time does not reduce it.
    pub stuck_for: Duration,
}

/// Time limits of each connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeLimits {
    /// Time from the first bytes of a head to its end.
    pub head: Duration,
    /// Time without bytes of a body.
    pub body_pause: Duration,
    /// Time without any bytes of an answer being taken.
    pub read_pause: Duration,
    /// Under pressure, time after which a body or an answer that is stuck may
    /// lose its connection.
    pub stuck: Duration,
    /// Time for which an idle connection is kept that has had a request.
    pub idle: Duration,
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(6),
            body_pause: Duration::from_secs(10),
            read_pause: Duration::from_secs(60),
            stuck: Duration::from_secs(2),
            idle: Duration::from_secs(15),
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overdue {
    /// The body of a request pauses for too long.
    Body,
    /// The head of a request takes too long.
    Head,
    /// The peer does not read.
    Reading,
}

/// Returns the time limit that a connection exceeds.
pub fn overdue(standing: &Standing, limits: &TimeLimits) -> Option<Overdue> {
    match standing.activity {
        Activity::NotReading if standing.silent_for > limits.read_pause => Some(Overdue::Reading),
        Activity::ReceivingBody if standing.silent_for > limits.body_pause => Some(Overdue::Body),
        Activity::Waiting {
            head: Some(head), ..
        } if head > limits.head => Some(Overdue::Head),
        _ => None,
    }
}

/// What is needed of the connection that is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// The memory of a body or of an answer.
    Memory,
    /// Its place among the open connections.
    Place,
}

/// Age from which a connection without a request may be closed for another.
/// A caller usually sends its first head within a few round trips.
const MIN_SILENCE: Duration = Duration::from_millis(100);

/// Returns the index of the least promising connection; `None` if none may be
/// closed.
///
/// The order is: those that have sent nothing for long, those that do not read,
/// and idle ones that have had a request. Within a group, the one that has been
/// stuck for longest comes first. Running requests are not closed.
pub fn least_promising(
    standings: impl Iterator<Item = Standing>,
    need: Need,
    limits: &TimeLimits,
) -> Option<usize> {
    let ranked = standings.enumerate().filter_map(|(index, standing)| {
        let group = group(&standing, need, limits)?;
        Some((group, std::cmp::Reverse(standing.stuck_for), index))
    });
    ranked.min().map(|(_, _, index)| index)
}

fn group(standing: &Standing, need: Need, limits: &TimeLimits) -> Option<u8> {
    let is_stuck = standing.stuck_for >= limits.stuck;
    match (standing.activity, need) {
        (Activity::ReceivingBody, _) if is_stuck => Some(0),
        (Activity::NotReading, _) if is_stuck => Some(1),
        (Activity::Waiting { has_served, .. }, Need::Place) => {
            let is_promised = has_served && standing.stuck_for <= limits.idle;
            match is_promised {
                true => Some(2),
                false => (standing.stuck_for >= MIN_SILENCE).then_some(0),
            }
        }
        _ => None,
    }
}
