//! A call at the host that owns its program.

use std::sync::Arc;

use chicoryarch_net::Body;
use chicoryarch_net::body::BodySender;
use chicoryarch_net::client::ClientError;
use http::Response;
use hyper::body::Incoming;

use super::answer;
use super::answer::Ended;
use super::answer::Tail;
use super::call::Call;
use super::cost;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::retry::Failure;
use crate::connection::endpoint;
use crate::connection::endpoint::Dispatch;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::ids::EndpointId;
use crate::process::context::Cx;
use crate::process::journals::Begun;
use crate::process::journals::CallSpec;
use crate::process::journals::Finished;
use crate::process::journals::StoredAnswer;
use crate::process::journals::Ticket;
use crate::process::metrics::Stage;
use crate::process::placing::Demand;
use crate::process::placing::Slot;
use crate::process::placing::Verdict;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::objects::Service;
use crate::version::objects::ServiceKind;

/// Chunks of an answer held for a caller that reads slowly.
const ANSWER_CHUNKS: usize = 16;
