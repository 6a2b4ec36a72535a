use hemlock_wire::compression::{compress, decompress};

#[test]
fn compressed_bytes_are_read_back() {
    for length in [0, 1, 100, 1 << 20] {
        let bytes: Vec<u8> = (0..length).map(|i: usize| (i / 7) as u8).collect();
        let compressed = compress(&bytes);
        assert_eq!(decompress(&compressed, length).unwrap(), bytes);
    }
}

#[test]
fn bytes_that_stand_for_more_than_the_limit_are_not_read() {
    let compressed = compress(&vec![0; 10 << 20]);
    assert!(compressed.len() < 100 << 10);
    assert!(decompress(&compressed, (10 << 20) - 1).is_err());
}

#[test]
fn truncated_or_malformed_bytes_are_an_error() {
    let compressed = compress(&[5; 1_000]);
    for length in 0..compressed.len() {
        assert!(
            decompress(&compressed[..length], 1_000).is_err(),
            "{length}"
        );
    }
    assert!(decompress(b"not compressed", 1_000).is_err());
}
