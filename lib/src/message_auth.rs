//! Authentication of gossip datagrams and messages between gateways, with keys from the settings.
//!
//! The first key of the ring signs; a message may be signed with any key of the ring. To rotate a
//! key without interruption, add the new one behind the old one on every entry VM, then move it to
//! the front, then drop the old one.

use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use sha2::Sha256;

use crate::codec;
use crate::peers::{GossipMessage, SignedMessage};

/// Length of a message's tag, in bytes.
const TAG_BYTES: usize = 16;
/// Number of the encoding of gossip packets.
const PACKET_ENCODING: u8 = 1;
/// Number of the encoding of probe reports.
const REPORTS_ENCODING: u8 = 2;
/// Number of the encoding of suspicions.
const SUSPICIONS_ENCODING: u8 = 4;
/// Number of the encoding of messages between gateways.
const CALL_ENCODING: u8 = 3;

/// A shared secret key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Number by which messages identify the key.
    pub id: u32,
    /// The secret bytes.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Keys in use; the first one signs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRing {
    keys: Vec<Key>,
}

impl KeyRing {
    /// Creates a key ring; `keys` must not be empty.
    ///
    /// # Panics
    ///
    /// Panics if `keys` is empty, which the validation of the settings rules out.
    pub fn new(keys: Vec<Key>) -> Self {
        assert!(!keys.is_empty(), "a key ring holds at least one key");
        Self { keys }
    }

    /// Encodes and signs a gossip message.
    pub fn sign(&self, message: &GossipMessage) -> Vec<u8> {
        match message {
            GossipMessage::Packet(packet) => {
                self.sign_body(PACKET_ENCODING, codec::encode_compact(packet))
            }
            GossipMessage::Reports(reports) => {
                self.sign_body(REPORTS_ENCODING, codec::encode(reports))
            }
            GossipMessage::Suspicions(suspicions) => {
                self.sign_body(SUSPICIONS_ENCODING, codec::encode(suspicions))
            }
        }
    }

    /// Verifies and decodes a gossip datagram; returns `None` if it is malformed, its key is
    /// unknown or its tag is wrong.
    pub fn verify(&self, bytes: &[u8]) -> Option<GossipMessage> {
        let (form, body) = self.verify_body(bytes)?;
        match form {
            PACKET_ENCODING => codec::decode(&body).ok().map(GossipMessage::Packet),
            REPORTS_ENCODING => codec::decode(&body).ok().map(GossipMessage::Reports),
            SUSPICIONS_ENCODING => codec::decode(&body).ok().map(GossipMessage::Suspicions),
            _ => None,
        }
    }

    /// Encodes and signs a message between gateways.
    pub fn sign_call(&self, message: &impl Serialize) -> Vec<u8> {
        self.sign_body(CALL_ENCODING, codec::encode(message))
    }

    /// Verifies and decodes a message between gateways; returns `None` if it is malformed, its key
    /// is unknown or its tag is wrong.
    pub fn verify_call<T: DeserializeOwned>(&self, bytes: &[u8]) -> Option<T> {
        let (form, body) = self.verify_body(bytes)?;
        (form == CALL_ENCODING).then(|| codec::decode(&body).ok())?
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
        let signed: SignedMessage = codec::decode(bytes).ok()?;
        if signed.tag.len() != TAG_BYTES {
            return None;
        }
        let key = self.keys.iter().find(|k| k.id == signed.key)?;
        mac(key, signed.form, &signed.body)
            .verify_truncated_left(&signed.tag)
            .ok()?;
        Some((signed.form, signed.body))
    }
}

fn mac(key: &Key, form: u8, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes keys of any size");
    mac.update(&[form]);
    mac.update(body);
    mac
}
