//! The journal of one partition: once-only calls, budgets and call order.
//!
//! [`Journal`] is a state machine without I/O or clock. The partition's owner
//! passes it requests and the results of platform calls, each with the current
//! [`Moment`](crate::units::Moment), and performs the [`Action`]s and delivers
//! the [`Effect`]s that it returns. All durable state is in one platform object,
//! a [`Document`], written only by conditional update.

mod archive;
mod begin;
mod budget;
mod call;
mod commit;
mod counters;
mod document;
mod finish;
mod machine;
mod order;
mod pace;
mod partition;
mod programs;
mod release;
mod size;
mod summary;

pub use archive::Archive;
pub use archive::ArchiveRecord;
pub use archive::OnceIds;
pub use call::ArchivedCall;
pub use call::CallEnd;
pub use call::CallSpec;
pub use call::Durability;
pub use call::Effect;
pub use call::Once;
pub use call::Outcome;
pub use call::Permit;
pub use call::ProgramEnd;
pub use call::ProgramSpec;
pub use call::Reply;
pub use call::RequestId;
pub use call::Scope;
pub(crate) use call::unreadable_answer;
pub use commit::Action;
pub use commit::WriteRequest;
pub use counters::Counter;
pub use counters::JournalCounters;
pub use document::Answer;
pub use document::Digest;
pub use document::Document;
pub use document::Header;
pub use document::OnceId;
pub use document::OnceRecord;
pub use document::OnceState;
pub use document::ProgramRecord;
pub use document::StoredAnswer;
pub use machine::Fenced;
pub use machine::Journal;
pub use machine::Status;
pub use machine::UnreferencedObject;
pub use partition::PartitionId;
pub use partition::partition_of_key;
pub use summary::CallSummary;
pub use summary::ProgramSummary;
pub use summary::WaitsFor;

/// Kind of the platform objects that hold journals.
pub const JOURNAL_KIND: &str = "journal";

/// Kind of the platform objects that hold large stored answers.
pub const ANSWER_KIND: &str = "answer";

/// Kind of the platform objects that hold archived answers.
pub const ARCHIVE_KIND: &str = "archive";
