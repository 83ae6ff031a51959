//! Messages between hosts about program budgets.

use serde::Deserialize;
use serde::Serialize;

/// Draws tokens from a program's balance at its home host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DrawRequest {
    /// Program id.
    pub program: String,
    /// Budget of the program in tokens.
    pub budget: u64,
    /// Tokens that are missing for the turn.
    pub wanted: u64,
    /// Maximum output of the turn in tokens.
    pub turn: u64,
    /// Whether the sender waits while the home host obtains a grant from the
    /// store.
    pub may_wait: bool,
    /// Key of the turn's session; 0 if there is no turn.
    #[serde(default)]
    pub session: u64,
}

/// Reply to a draw.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum DrawReply {
    /// The tokens now belong to the sender of the request.
    Drawn {
        /// Whether the sender may retain unused tokens between turns.
        is_ample: bool,
        /// Whether the home host held no balance for the program before.
        is_new: bool,
        /// Ids of the engines that are likely to cache the session's prompt.
        #[serde(default)]
        cached_at: Vec<String>,
    },
    /// The balance needs a grant from the store first. Sent only if `may_wait`
    /// is false.
    Granting,
    /// The host is shutting down and has handed over its balances.
    Leaving,
    /// The remaining budget is too small.
    Spent,
    /// The store did not confirm a grant; the text says why.
    Unavailable(String),
}

/// Returns unspent tokens to a program's balance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PutBackRequest {
    /// Program id.
    pub program: String,
    /// Number of unspent tokens.
    pub tokens: u64,
    /// Whether the program's first turn was refused, so that the next one is its
    /// first.
    #[serde(default)]
    pub is_refused: bool,
}

/// Hands balances over to the host that is their home now.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOverRequest {
    /// One entry for each program.
    #[serde(rename = "purses")]
    pub balances: Vec<HandedBalance>,
}

/// A balance that is handed over to another host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandedBalance {
    /// Program id.
    pub program: String,
    /// Budget of the program in tokens.
    pub budget: u64,
    /// Tokens in the balance.
    pub tokens: u64,
}
