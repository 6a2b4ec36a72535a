//! Encoding of records and messages: MessagePack with field names, so that a reader skips fields
//! that a later version adds.

use error_stack::{Report, ResultExt};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Error of decoding bytes that aren't a message of the expected type.
#[derive(Debug)]
pub struct DecodeError {
    /// Name of the expected Rust type.
    pub expected: &'static str,
    /// Length of the input in bytes.
    pub length: usize,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "can't decode {} bytes as {}", self.length, self.expected)
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a value.
///
/// # Panics
///
/// Panics if the value can't be represented, which is a bug in its type.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("messages are made of encodable fields")
}

/// Decodes a value.
///
/// # Errors
///
/// Fails if `bytes` is not an encoding of `T`, or continues after it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Report<DecodeError>> {
    let error = || DecodeError {
        expected: std::any::type_name::<T>(),
        length: bytes.len(),
    };
    let mut rest = bytes;
    let value = rmp_serde::from_read(&mut rest).change_context_lazy(error)?;
    match rest {
        [] => Ok(value),
        _ => Err(Report::new(error())),
    }
}

/// Encodes a message without field names, for datagrams that carry the number of their format.
///
/// # Panics
///
/// Panics if the value can't be represented, which is a bug in its type.
pub fn encode_compact(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("messages are made of encodable fields")
}
