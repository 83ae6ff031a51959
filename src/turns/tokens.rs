//! Number of tokens of the text that is put in front of a turn's input.

/// Bytes of a token, for a text whose tokens its callers did not state or that was
/// stored by an earlier release.
const BYTES_PER_TOKEN: u64 = 4;

/// Length of the text in front of a turn's input.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChainSize {
    /// In bytes.
    pub bytes: u64,
    /// In tokens.
    pub tokens: u64,
}

impl ChainSize {
    /// Returns the size of a text. Its tokens are estimated if they are not known.
    pub fn new(bytes: u64, tokens: Option<u64>) -> Self {
        Self {
            bytes,
            tokens: tokens.unwrap_or_else(|| bytes.div_ceil(BYTES_PER_TOKEN)),
        }
    }

    /// Tokens of the text that are not among the `stated` prompt tokens of a
    /// request with `input_bytes` of input.
    ///
    /// Some callers state the tokens of their input, others those of the whole
    /// text. Of the two, the one is assumed whose ratio of tokens to bytes is closer
    /// to that of the text before.
    pub fn unstated_tokens(&self, stated: u64, input_bytes: u64) -> u64 {
        let product = u128::from(input_bytes) * u128::from(self.tokens);
        let expected_input = product / u128::from(self.bytes.max(1));
        let is_whole = u128::from(stated) >= expected_input + u128::from(self.tokens.div_ceil(2));
        match is_whole {
            true => 0,
            false => self.tokens,
        }
    }
}
