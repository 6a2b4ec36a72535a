//! Authentication of gossip datagrams with keys from the settings.
//!
//! The first key seals; every key of the ring opens. A key is rotated without a gap by adding the new
//! one behind the old on every entry VM, then moving it to the front, then dropping the old one.

use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use sha2::Sha256;

use crate::codec;
use crate::peers::{GossipMessage, SignedMessage};

/// Bytes of the tag that a datagram carries.
const TAG_BYTES: usize = 16;
/// Number of the encoding of packets.
const PACKET_FORM: u8 = 1;
/// Number of the encoding of probe reports.
const REPORTS_FORM: u8 = 2;
/// Form of a datagram that carries suspicions.
const SUSPICIONS_FORM: u8 = 4;
/// Number of the encoding of messages between gateways.
const CALL_FORM: u8 = 3;

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

    /// Encodes and seals a gossip message.
    pub fn sign(&self, message: &GossipMessage) -> Vec<u8> {
        match message {
            GossipMessage::Packet(packet) => {
                self.sign_body(PACKET_FORM, codec::encode_compact(packet))
            }
            GossipMessage::Reports(reports) => self.sign_body(REPORTS_FORM, codec::encode(reports)),
            GossipMessage::Suspicions(suspicions) => {
                self.sign_body(SUSPICIONS_FORM, codec::encode(suspicions))
            }
        }
    }

    /// Opens a gossip datagram, or returns `None` if it is malformed or its tag is wrong.
    pub fn verify(&self, bytes: &[u8]) -> Option<GossipMessage> {
        let (form, body) = self.verify_body(bytes)?;
        match form {
            PACKET_FORM => codec::decode(&body).ok().map(GossipMessage::Packet),
            REPORTS_FORM => codec::decode(&body).ok().map(GossipMessage::Reports),
            SUSPICIONS_FORM => codec::decode(&body).ok().map(GossipMessage::Suspicions),
            _ => None,
        }
    }

    /// Encodes and seals a message between gateways.
    pub fn sign_call(&self, message: &impl Serialize) -> Vec<u8> {
        self.sign_body(CALL_FORM, codec::encode(message))
    }

    /// Opens a message between gateways, or returns `None` if it is malformed or its tag is wrong.
    pub fn verify_call<T: DeserializeOwned>(&self, bytes: &[u8]) -> Option<T> {
        let (form, body) = self.verify_body(bytes)?;
        (form == CALL_FORM).then(|| codec::decode(&body).ok())?
    }

    fn sign_body(&self, form: u8, body: Vec<u8>) -> Vec<u8> {
        let key = &self.keys[0];
        let tag = mac(key, form, &body).finalize().into_bytes();
        codec::encode_compact(&SignedMessage {
            key: key.id,
            form,
            tag: ByteBuf::from(&tag[..TAG_BYTES]),
            body: ByteBuf::from(body),
        })
    }

    fn verify_body(&self, bytes: &[u8]) -> Option<(u8, ByteBuf)> {
        let sealed: SignedMessage = codec::decode(bytes).ok()?;
        if sealed.tag.len() != TAG_BYTES {
            return None;
        }
        let key = self.keys.iter().find(|k| k.id == sealed.key)?;
        mac(key, sealed.form, &sealed.body)
            .verify_truncated_left(&sealed.tag)
            .ok()?;
        Some((sealed.form, sealed.body))
    }
}

fn mac(key: &Key, form: u8, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes keys of any size");
    mac.update(&[form]);
    mac.update(body);
    mac
}
