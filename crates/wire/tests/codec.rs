//! Decoding of random, mutated and oversized frames.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use units::{Call, Incarnation, Program, Span};
use wire::{
    Action, Decoder, Delta, Dispatch, Epoch, FRAME_MAX_BYTES, Fence, Frame, Identity,
    LIST_MAX_ITEMS, Order, Role, State, Work, encode,
};

const INPUTS: u32 = 100_000;
const SEED: u64 = 20_261_204;
const HEADER_BYTES: usize = 5;
const PAYLOAD_MAX_BYTES: usize = 4_096;

fn sample_frames() -> Vec<Frame> {
    let identity = Identity {
        host: "sidecar-0".parse().unwrap(),
        incarnation: Incarnation(7),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "north".parse().unwrap(),
        zone: "north-1".parse().unwrap(),
        role: Role::Sidecar {
            endpoint: "engine-0".parse().unwrap(),
            serves: vec!["advisor".parse().unwrap()],
            slots: 8,
        },
    };
    let dispatch = Dispatch {
        call: Call::default(),
        sidecar: Incarnation(7),
        epoch: Epoch(3),
        account: "meche".parse().unwrap(),
        target: "stock".parse().unwrap(),
        work: Work::Service { idempotent: false },
        time_remaining: Span::from_ms(100),
        priority: 9,
        input: b"reserve 2 pallets".to_vec(),
        trace: "00-ab".into(),
        tail: vec![1, 2, 3],
    };
    let order = Order {
        fence: Fence(9),
        action: Action::Role("prefill".into()),
    };
    let bytes = b"The palm is safe to ascend.".to_vec();
    vec![
        Frame::Hello {
            identity,
            nonce: [7; 32],
            proof: Default::default(),
        },
        Frame::Dispatch(dispatch),
        Frame::Delta(Delta { offset: 4, bytes }),
        Frame::Saved(vec![Call::default(); 5]),
        Frame::Held(vec![Program::default(); 5]),
        Frame::State(State::Running),
        Frame::Order(order),
    ]
}

/// Returns random bytes, or one or two encoded frames with some bytes changed, inserted or cut off.
fn random_input(rng: &mut StdRng, samples: &[Frame]) -> Vec<u8> {
    if rng.random_bool(0.2) {
        let length = rng.random_range(0..200);
        return (0..length).map(|_| rng.random()).collect();
    }
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(1..3) {
        bytes.extend_from_slice(&encode(&samples[rng.random_range(0..samples.len())]).unwrap());
    }
    for _ in 0..rng.random_range(0..6) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => bytes[at] ^= 1 << rng.random_range(0..8),
            2 => bytes.insert(at, rng.random()),
            _ => bytes.truncate(at.max(1)),
        }
    }
    bytes
}

#[test]
fn malformed_input_neither_panics_nor_grows_the_buffer() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let samples = sample_frames();
    let (mut frames, mut errors) = (0_u32, 0_u32);
    for _ in 0..INPUTS {
        let mut decoder = Decoder::new(PAYLOAD_MAX_BYTES);
        let bytes = random_input(&mut rng, &samples);
        for chunk in bytes.chunks(rng.random_range(1..64)) {
            decoder.extend(chunk);
            loop {
                match decoder.next_frame() {
                    Ok(Some(frame)) => {
                        frames += 1;
                        assert!(encode(&frame).unwrap().len() <= HEADER_BYTES + PAYLOAD_MAX_BYTES);
                    }
                    Ok(None) => break,
                    Err(_) => {
                        errors += 1;
                        assert!(decoder.is_empty());
                        break;
                    }
                }
            }
            assert!(decoder.len() <= HEADER_BYTES + PAYLOAD_MAX_BYTES);
        }
    }
    println!("{frames} frames, {errors} errors");
    assert!(frames > INPUTS / 10 && errors > INPUTS / 10);
}

#[test]
fn frames_and_lists_over_the_limit_are_rejected() {
    let mut header = vec![1];
    header.extend_from_slice(&(FRAME_MAX_BYTES as u32 + 1).to_be_bytes());
    let mut decoder = Decoder::default();
    decoder.extend(&header);
    assert!(decoder.next_frame().is_err());
    for (items, allowed) in [(LIST_MAX_ITEMS, true), (LIST_MAX_ITEMS + 1, false)] {
        let mut decoder = Decoder::default();
        decoder.extend(&encode(&Frame::Claim(vec![Program::default(); items])).unwrap());
        assert_eq!(decoder.next_frame().is_ok(), allowed, "{items} items");
    }
}

proptest! {
    #[test]
    fn frames_decode_from_chunks_of_any_size(chunk_bytes in 1_usize..200, repeats in 1_usize..4) {
        let mut decoder = Decoder::default();
        let frames: Vec<Frame> = sample_frames().into_iter().cycle().take(7 * repeats).collect();
        let bytes: Vec<u8> = frames.iter().flat_map(|frame| encode(frame).unwrap()).collect();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.extend(chunk);
            while let Some(frame) = decoder.next_frame().unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }
}
