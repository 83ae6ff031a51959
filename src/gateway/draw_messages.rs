//! What hosts tell each other about the tokens of programs.

use serde::Deserialize;
use serde::Serialize;

/// Draws tokens from a program's purse at its home.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DrawRequest {
    /// The program.
    pub program: String,
    /// Its budget.
    pub budget: u64,
    /// Tokens that the host lacks for a turn.
    pub wanted: u64,
    /// Most tokens of the turn.
    pub turn: u64,
    /// True if the asker waits for a grant of the store.
    pub may_wait: bool,
}

/// Answer to a draw.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum DrawReply {
    /// The tokens are now the asker's.
    Drawn {
        /// True if the asker may keep what it does not need at once.
        is_ample: bool,
        /// True if the home had not heard of the program.
        is_new: bool,
    },
    /// The purse needs a grant of the store first.
    Granting,
    /// The host is about to end and has handed its purses over.
    Leaving,
    /// The budget does not hold them.
    Spent,
    /// The store did not confirm a grant.
    Unavailable(String),
}

/// Puts unspent tokens back into a program's purse.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PutBackRequest {
    /// The program.
    pub program: String,
    /// Unspent tokens.
    pub tokens: u64,
}

/// Hands purses over to the host that is their home now.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOverRequest {
    /// The purses.
    #[serde(rename = "purses")]
    pub balances: Vec<HandedBalance>,
}

/// A purse on its way to another host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandedBalance {
    /// The program.
    pub program: String,
    /// Its budget.
    pub budget: u64,
    /// Tokens in the purse.
    pub tokens: u64,
}
