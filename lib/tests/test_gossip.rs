//! Gossip datagrams: only complete, authentic and recent ones are accepted.

use std::time::Duration;

use hemlock_lib::gossip::{Gossip, GossipConfig};
use hemlock_lib::ids::{EntryId, Incarnation, Nonce, Offset};
use hemlock_lib::members::{Member, MemberChange, MemberRecord, Members};
use hemlock_lib::message_auth::{Key, KeyRing};
use hemlock_lib::peers::{GossipMessage, Liveness, Packet, PacketKind, StatusUpdate};
use hemlock_lib::time::Time;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const CONFIG: GossipConfig = GossipConfig {
    round_interval: Duration::from_millis(500),
    ack_timeout: Duration::from_millis(200),
    suspicion_timeout: Duration::from_millis(2_000),
    relays: 5,
    heartbeats: 24,
    fanout: 6,
    report_interval: Duration::from_millis(600),
    report_bytes: 1_150,
};

fn ring(ids: &[u32]) -> KeyRing {
    let key = |id: &u32| Key {
        id: *id,
        secret: vec![*id as u8; 32],
    };
    KeyRing::new(ids.iter().map(key).collect())
}

fn packet(stamp: u64, updates: Vec<StatusUpdate>) -> Packet {
    Packet {
        from: 2,
        stamp,
        kind: PacketKind::Ping,
        seq: 1,
        target: 0,
        asks: false,
        updates,
        beats: Vec::new(),
    }
}

fn members(count: u64) -> Members {
    let mut members = Members::default();
    for i in 0..count {
        let member = Member {
            entry: format!("entry-{i}").as_str().into(),
            domain: "riverside".into(),
            gateway: String::new(),
            agent: String::new(),
            gossip: i.to_string(),
            incarnation: Incarnation(1),
            leaving: false,
        };
        let change = MemberChange::Join(member);
        let record = MemberRecord {
            nonce: Nonce(i),
            change,
        };
        members.fold(Offset(i), &record);
    }
    members
}

#[test]
fn inauthentic_datagrams_are_refused() {
    let message = GossipMessage::Packet(packet(1, Vec::new()));
    let signed = ring(&[1]).sign(&message);
    assert_eq!(ring(&[2, 1]).verify(&signed), Some(message.clone()));
    assert_eq!(ring(&[2]).verify(&signed), None, "unknown key");
    let mut forged = ring(&[2]).sign(&message);
    forged[1] = 1;
    assert_eq!(ring(&[1]).verify(&forged), None, "tag of another key");
    for i in 0..signed.len() {
        assert_eq!(ring(&[1]).verify(&signed[..i]), None, "cut at {i}");
        let mut flipped = signed.clone();
        flipped[i] ^= 1;
        assert_ne!(
            ring(&[1]).verify(&flipped),
            Some(message.clone()),
            "byte {i}"
        );
    }
    assert_eq!(ring(&[1]).verify(&vec![0x95; 70_000]), None, "oversized");
}

#[test]
fn replayed_packets_are_refused() {
    let (mut rng, mut out) = (SmallRng::seed_from_u64(1), Vec::new());
    let mut gossip = Gossip::new(CONFIG, "entry-0".into());
    gossip.update_members(Time::ZERO, &members(3));
    let dead = StatusUpdate {
        member: 3,
        status: Liveness::Dead,
        incarnation: 9,
    };
    let alive = |incarnation| StatusUpdate {
        member: 3,
        status: Liveness::Alive,
        incarnation,
    };
    let entry = EntryId::new("entry-2");
    gossip.receive(
        Time::ZERO,
        &packet(10_000, vec![alive(1)]),
        &mut rng,
        &mut out,
    );
    assert!(gossip.live_peer(&members(3), &entry).is_some());
    gossip.receive(Time::ZERO, &packet(7_999, vec![dead]), &mut rng, &mut out);
    assert!(gossip.live_peer(&members(3), &entry).is_some(), "too old");
    assert_eq!(gossip.replays, 1);
    gossip.receive(Time::ZERO, &packet(9_000, vec![dead]), &mut rng, &mut out);
    assert!(
        gossip.live_peer(&members(3), &entry).is_none(),
        "late, but within the window"
    );
    gossip.receive(
        Time::ZERO,
        &packet(9_000, vec![alive(9)]),
        &mut rng,
        &mut out,
    );
    assert!(
        gossip.live_peer(&members(3), &entry).is_none(),
        "the same incarnation refutes nothing"
    );
    gossip.receive(
        Time::ZERO,
        &packet(9_000, vec![alive(10)]),
        &mut rng,
        &mut out,
    );
    assert!(gossip.live_peer(&members(3), &entry).is_some(), "refuted");
}

#[test]
fn suspected_member_refutes_the_suspicion_in_its_ack() {
    let (mut rng, mut out) = (SmallRng::seed_from_u64(1), Vec::new());
    let mut gossip = Gossip::new(CONFIG, "entry-0".into());
    gossip.update_members(Time::ZERO, &members(3));
    let suspicion = StatusUpdate {
        member: 1,
        status: Liveness::Suspect,
        incarnation: 4,
    };
    gossip.receive(Time::ZERO, &packet(1, vec![suspicion]), &mut rng, &mut out);
    let refutation = StatusUpdate {
        member: 1,
        status: Liveness::Alive,
        incarnation: 5,
    };
    assert_eq!(out[0].packet.kind, PacketKind::Ack);
    assert!(out[0].packet.updates.contains(&refutation), "{out:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn random_datagrams_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert_eq!(ring(&[1]).verify(&bytes), None);
    }
}
