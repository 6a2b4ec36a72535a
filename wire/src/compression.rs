//! Compression of records that entry VMs send each other, in the zlib format.

use std::io;

/// Level of compression, from 0 to 10: fast rather than small.
const LEVEL: u8 = 1;

/// Compresses bytes.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    miniz_oxide::deflate::compress_to_vec_zlib(bytes, LEVEL)
}

/// Decompresses bytes.
///
/// # Errors
///
/// Fails if the bytes are malformed or truncated, or if they stand for more than `limit` bytes.
pub fn decompress(bytes: &[u8], limit: usize) -> io::Result<Vec<u8>> {
    miniz_oxide::inflate::decompress_to_vec_zlib_with_limit(bytes, limit)
        .map_err(|e| io::Error::other(e.to_string()))
}
