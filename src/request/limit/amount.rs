//! Fixed-point amounts of rate tokens.

use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;

use serde::Deserialize;
use serde::Serialize;

/// Resolution of [`Amount`].
const MICROS_PER_TOKEN: u64 = 1_000_000;

/// An amount of rate tokens; one token admits one call.
///
/// Counted in whole millionths, so that moving tokens between hosts neither
/// creates nor loses any by rounding.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Amount(u64);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// One token.
    pub const ONE: Self = Self(MICROS_PER_TOKEN);

    /// Creates an amount from millionths of a token.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an amount from whole tokens; saturates.
    pub const fn from_whole(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICROS_PER_TOKEN))
    }

    /// Creates an amount from a number of tokens, rounded down to millionths.
    /// Negative numbers give zero.
    pub fn from_tokens(tokens: f64) -> Self {
        // Casts from float to integer saturate.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let micros = (tokens * MICROS_PER_TOKEN as f64) as u64;
        Self(micros)
    }

    /// Returns the amount in millionths of a token.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the amount in tokens.
    pub fn tokens(self) -> f64 {
        self.0 as f64 / MICROS_PER_TOKEN as f64
    }

    /// Subtracts `other`; zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns half of the amount, rounded down.
    #[must_use]
    pub const fn half(self) -> Self {
        Self(self.0 / 2)
    }

    /// Removes up to `wanted` from the amount and returns the removed part.
    pub fn split_off(&mut self, wanted: Self) -> Self {
        let taken = wanted.min(*self);
        self.0 -= taken.0;
        taken
    }
}

impl Add for Amount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for Amount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Add::add)
    }
}
