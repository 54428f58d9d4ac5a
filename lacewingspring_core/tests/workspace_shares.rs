//! What workspaces get while some of them send ten times their usual load.

use workspace_shares_support::{
    Figures, Outcome, Play, WORKSPACES, capacity_after_pause_ms, capacity_ms, play, share,
};

mod dispatch_support;
mod workspace_shares_support;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Most of what it gets alone, or of its share, that a workspace may lack.
const TOLERANCE: f64 = 0.05;

/// Workspaces that send too much, and one that pauses: a large and a small one each, and both.
const TROUBLES: [(&[usize], usize); 3] = [(&[0], 8), (&[8], 1), (&[0, 8], 1)];

fn plays(gate_lost_ms: Option<u64>) -> impl Iterator<Item = Play> {
    TROUBLES.into_iter().flat_map(move |(flooders, pauses)| {
        let figures = Figures::Four;
        SEEDS.map(move |seed| Play { seed, figures, flooders, pauses, alone: None, gate_lost_ms })
    })
}

/// Checks that each workspace gets what it gets alone, or its share, whichever is less; the one
/// that paused also after its return.
fn check_shares(scenario: Play, outcome: &Outcome) {
    let Play { seed, flooders, pauses, .. } = scenario;
    for workspace in 0..WORKSPACES {
        let alone = play(Play { alone: Some(workspace), gate_lost_ms: None, ..scenario });
        let due = alone.served_ms[workspace].min(share(workspace) * capacity_ms());
        let served = outcome.served_ms[workspace];
        println!("seed {seed}, flooders {flooders:?}, {workspace}: {served:.0} of {due:.0} ms");
        assert!(
            served >= due * (1.0 - TOLERANCE),
            "seed {seed}, flooders {flooders:?}: workspace {workspace} got {served} of {due} ms"
        );
        if workspace == pauses {
            let share = share(workspace) * capacity_after_pause_ms();
            let due = alone.served_after_pause_ms[workspace].min(share);
            let served = outcome.served_after_pause_ms[workspace];
            assert!(
                served >= due * (1.0 - TOLERANCE),
                "seed {seed}, flooders {flooders:?}: {served} of {due} ms after the pause"
            );
        }
    }
}

/// Guards against a workspace that takes the capacity that others need, and against refusals of
/// those who use less than their share.
#[test]
fn each_workspace_gets_its_load_or_its_share() {
    for scenario in plays(None) {
        check_shares(scenario, &play(scenario));
    }
}

/// Guards against slots that are kept for workspaces that don't use them, and against refusals
/// while a slot is free.
#[test]
fn the_total_served_does_not_decrease() {
    for (flooders, pauses) in TROUBLES {
        let total = |figures| -> f64 {
            let scenarios = plays(None).filter(|play| play.flooders == flooders);
            let outcomes = scenarios.map(|scenario| play(Play { figures, pauses, ..scenario }));
            outcomes.fold(0.0, |sum, outcome| {
                assert_eq!(outcome.refused_beside_free_slots, 0, "flooders {flooders:?}");
                sum + outcome.total_ms
            })
        };
        let (before, after) = (total(Figures::Three), total(Figures::Four));
        println!("{flooders:?}: {before:.0} ms without shares, {after:.0} ms with them");
        assert!(after >= before, "{flooders:?}: {before} ms without shares, {after} with them");
    }
}

/// Guards against shares that depend on what only the lost gate knew.
#[test]
fn shares_hold_when_the_gate_is_lost() {
    for scenario in plays(Some(6_000)) {
        check_shares(scenario, &play(scenario));
    }
}
