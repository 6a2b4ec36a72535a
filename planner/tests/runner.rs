//! Test binary of this crate, which has no integration tests yet.
