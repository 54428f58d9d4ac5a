//! Requests whose prompts share a part that crashes each upstream that runs them, among sound
//! requests that share their workspace and their other parts.

use std::time::Duration;

use dispatch_support::{ms, ticket};
use lacewingspring_core::dispatch::{
    BlockedParts, CrashedPart, Decision, Dispatcher, End, HandOver, SlotRequest,
};
use play::{
    CRASHING_PART, LAST_PARTS, PLAY_TIME, Play, RESTART_TIME, Random, SCRIPT, SHARED_FIRST_PART,
    Script, finished, new_gate, request, secs, upstream,
};

#[path = "../dispatch_support/mod.rs"]
mod dispatch_support;
mod play;

/// Seeds of each play.
const SEEDS: std::ops::Range<u64> = 0..20;

/// Plays a script with all seeds and checks what the users' rules ask of a crashing part.
fn assert_crashing_part_is_stopped(script: Script) {
    for seed in SEEDS {
        let mut play = Play::new(seed, script);
        play.run_until(PLAY_TIME);
        play.assert_crashing_requests_are_stopped();
        play.assert_sound_requests_are_served(|part| part == SHARED_FIRST_PART);
        play.assert_sound_requests_are_served(|_| true);
    }
}

#[test]
fn stops_different_requests_that_share_a_crashing_part() {
    assert_crashing_part_is_stopped(SCRIPT);
}

#[test]
fn stops_a_crashing_part_wherever_it_stands_in_the_prompt() {
    let crashing_parts = |_: &mut Random| vec![CRASHING_PART, SHARED_FIRST_PART];
    assert_crashing_part_is_stopped(Script { crashing_parts, ..SCRIPT });
    let crashing_parts = |random: &mut Random| vec![100 + random.below(150), CRASHING_PART];
    assert_crashing_part_is_stopped(Script { crashing_parts, ..SCRIPT });
}

#[test]
fn stops_a_crashing_part_in_rare_and_in_frequent_requests() {
    assert_crashing_part_is_stopped(Script { crashing_rate: 0.4, ..SCRIPT });
    assert_crashing_part_is_stopped(Script { crashing_rate: 15.0, ..SCRIPT });
}

#[test]
fn serves_sound_requests_with_a_part_that_all_crashing_ones_have() {
    assert_crashing_part_is_stopped(Script { shared_rate: 0.4, ..SCRIPT });
    assert_crashing_part_is_stopped(Script { shared_rate: 10.0, first_parts: 3, ..SCRIPT });
}

#[test]
fn stops_a_crashing_part_while_sound_runs_break_off() {
    assert_crashing_part_is_stopped(Script { broken_fraction: 0.1, ..SCRIPT });
}

#[test]
fn stops_a_crashing_part_whose_answers_look_complete() {
    assert_crashing_part_is_stopped(Script { is_unframed: true, ..SCRIPT });
}

#[test]
fn serves_sound_requests_whose_runs_break_off_at_random() {
    // An unframed answer that ends beside a broken one is in doubt, so that fewer may break off.
    let cases = SEEDS.flat_map(|seed| [(seed, 0.1, false), (seed, 0.02, true)]);
    for (seed, broken_fraction, is_unframed) in cases {
        let script = Script { crashing_rate: 0.0, broken_fraction, is_unframed, ..SCRIPT };
        let mut play = Play::new(seed, script);
        play.run_until(PLAY_TIME);
        let granted = play.granted_fraction(Duration::ZERO, PLAY_TIME, |_| true);
        assert!(granted > 0.97, "{granted:.3} of the sound requests are granted a slot");
    }
}

#[test]
fn serves_sound_requests_after_all_upstreams_crashed() {
    for seed in SEEDS {
        let script = Script { crashing_rate: 0.0, first_parts: 5, ..SCRIPT };
        let mut play = Play::new(seed, script);
        play.run_until(secs(10));
        for info in play.upstreams.clone() {
            play.crash(&info.name);
        }
        let restarted_at = play.now + RESTART_TIME;
        play.run_until(PLAY_TIME);
        let from = restarted_at + secs(2);
        let granted = play.granted_fraction(from, PLAY_TIME, |_| true);
        assert!(granted > 0.97, "{granted:.3} of the sound requests are granted a slot");
    }
}

#[test]
fn a_gate_that_takes_over_stops_a_crashing_part() {
    for seed in SEEDS {
        let mut play = Play::new(seed, SCRIPT);
        // Some seeds change the gate before the part is blocked, some after.
        for change_at in [9, 10, 20] {
            play.run_until(secs(change_at) - ms(seed * 40));
            play.change_gate();
        }
        play.run_until(PLAY_TIME);
        play.assert_crashing_requests_are_stopped();
        play.assert_sound_requests_are_served(|part| part == SHARED_FIRST_PART);
        play.assert_sound_requests_are_served(|_| true);
    }
}

/// Parts that an earlier gate handed over with this number of crashes.
fn crashed(parts: &[u64], crashes: u32) -> HandOver {
    let parts = parts.iter().map(|part| CrashedPart { part: *part, crashes });
    HandOver { crashed_parts: parts.collect(), ..HandOver::default() }
}

/// Asks for slots for two requests with these parts; returns whether each is granted at once.
fn grants_two(gate: &mut Dispatcher, first: u64, parts: &[u64]) -> [bool; 2] {
    [first, first + 1].map(|number| {
        let parts: Vec<u64> = parts.iter().copied().chain([LAST_PARTS + number]).collect();
        let decisions = gate.request_slot(ms(number), ticket(number), request(number, &parts));
        matches!(decisions[..], [Decision::Granted(..)])
    })
}

#[test]
fn adds_up_the_crashes_of_several_hand_overs() {
    let mut gate = new_gate(ms(0));
    gate.set_upstreams(ms(0), [upstream("u1")]);
    gate.take_over(ms(0), ms(0), &crashed(&[CRASHING_PART], 2));
    assert_eq!(grants_two(&mut gate, 1, &[CRASHING_PART]), [true, true]);
    gate.take_over(ms(2), ms(0), &crashed(&[CRASHING_PART], 3));
    assert_eq!(grants_two(&mut gate, 3, &[CRASHING_PART]), [true, false], "one is a probe");
}

#[test]
fn a_completed_run_clears_all_of_its_parts() {
    let parts = [SHARED_FIRST_PART, CRASHING_PART];
    let mut gate = new_gate(ms(0));
    gate.set_upstreams(ms(0), [upstream("u1")]);
    gate.take_over(ms(0), ms(0), &crashed(&parts, 5));
    assert_eq!(grants_two(&mut gate, 1, &parts), [true, false], "one is a probe");
    gate.end(ms(10), ticket(1), finished(ms(9), true));
    assert_eq!(grants_two(&mut gate, 11, &[SHARED_FIRST_PART]), [true, true]);
    assert_eq!(grants_two(&mut gate, 13, &[CRASHING_PART]), [true, true]);
}

#[test]
fn remembers_a_crashing_part_beside_many_broken_requests_without_parts() {
    let mut gate = new_gate(ms(0));
    let mut now = ms(0);
    let mut crash = |gate: &mut Dispatcher, number: u64, parts: &[u64]| {
        now += secs(1) / 10;
        let name = format!("u{number}");
        gate.set_upstreams(now, [upstream(&name)]);
        let decisions = gate.request_slot(now, ticket(number), request(number, parts));
        assert!(matches!(decisions[..], [Decision::Granted(..)]), "{decisions:?}");
        gate.end(now, ticket(number), End::Broken);
    };
    crash(&mut gate, 0, &[CRASHING_PART, LAST_PARTS]);
    crash(&mut gate, 1, &[CRASHING_PART, LAST_PARTS + 1]);
    for number in 2..300 {
        crash(&mut gate, number, &[LAST_PARTS + number]);
    }
    crash(&mut gate, 300, &[CRASHING_PART, LAST_PARTS + 300]);
    gate.set_upstreams(secs(31), [upstream("next")]);
    assert_eq!(grants_two(&mut gate, 31_000, &[CRASHING_PART]), [true, false], "one is a probe");
}

#[test]
fn refuses_the_repeat_of_a_request_with_a_blocked_part() {
    let mut gate = new_gate(ms(0));
    gate.set_upstreams(ms(0), [upstream("u1"), upstream("u2")]);
    let blocked = BlockedParts { parts: vec![CRASHING_PART], left_ms: 600_000 };
    let hand_over = HandOver { blocked_parts: vec![blocked], ..HandOver::default() };
    gate.take_over(ms(0), ms(0), &hand_over);
    let repeat = SlotRequest { sends: 1, ..request(1, &[CRASHING_PART, LAST_PARTS]) };
    let decisions = gate.request_slot(ms(1), ticket(1), repeat);
    assert!(matches!(decisions[..], [Decision::Refused(..)]), "{decisions:?}");
}
