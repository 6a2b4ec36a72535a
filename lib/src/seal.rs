//! Authentication of messages between entry VMs with keys from the settings.
//!
//! The first key seals; every key of the ring opens. A key is rotated without a gap by adding the new
//! one behind the old on every entry VM, then moving it to the front, then dropping the old one.

use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use sha2::Sha256;

use crate::codec;
use crate::peers::Sealed;

/// A shared key with its number.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Number by which datagrams name the key.
    pub id: u32,
    /// The secret.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Keys in use, the sealing one first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRing {
    keys: Vec<Key>,
}

impl KeyRing {
    /// Makes a ring; `keys` must not be empty.
    ///
    /// # Panics
    ///
    /// Panics if `keys` is empty, which settings refuse.
    pub fn new(keys: Vec<Key>) -> Self {
        assert!(!keys.is_empty(), "a key ring holds at least one key");
        Self { keys }
    }

    /// Encodes and seals a message.
    pub fn seal(&self, message: &impl Serialize) -> Vec<u8> {
        let key = &self.keys[0];
        let body = codec::encode(message);
        let tag = mac(key, &body).finalize().into_bytes().to_vec();
        codec::encode(&Sealed {
            key: key.id,
            tag: ByteBuf::from(tag),
            body: ByteBuf::from(body),
        })
    }

    /// Opens a datagram, or returns `None` if it is malformed or its tag is wrong.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Option<T> {
        let sealed: Sealed = codec::decode(bytes).ok()?;
        let key = self.keys.iter().find(|k| k.id == sealed.key)?;
        mac(key, &sealed.body).verify_slice(&sealed.tag).ok()?;
        codec::decode(&sealed.body).ok()
    }
}

fn mac(key: &Key, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes keys of any size");
    mac.update(body);
    mac
}
