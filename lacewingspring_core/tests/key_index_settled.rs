//! Replication of settled keys from one index to another.

use std::time::Duration;

use lacewingspring_core::key_index::{
    Announcement, HandOver, HomeTenure, KeyId, KeyIndex, KeyIndexConfig, Outcome, Progress,
    RegisterVerdict, Runner, SettledKey,
};

fn id() -> KeyId {
    KeyId { workspace: "w".into(), key: "k".into() }
}

fn runner() -> Runner {
    Runner { instance: "i".into(), incarnation: 1 }
}

#[test]
fn void_survives_home_changes_until_its_retention_ends() {
    let start = Duration::from_secs(10);
    let mut homes: Vec<_> =
        (0..4).map(|_| KeyIndex::new(KeyIndexConfig::default(), Duration::ZERO)).collect();
    homes[0].void(start, &id(), HomeTenure::Established);
    let mut now = start;
    for next in 1..homes.len() {
        now += Duration::from_secs(100);
        let settled = homes[next - 1].settled_keys(now, 10);
        assert_eq!(settled.len(), 1);
        settled.into_iter().for_each(|key| homes[next].merge_settled(now, key));
        let verdict =
            homes[next].register(now, id(), "f".into(), runner(), HomeTenure::Established);
        assert_eq!(verdict, RegisterVerdict::Voided);
    }
    // Replication does not extend the retention.
    now = start + KeyIndexConfig::default().retention;
    assert!(homes.iter().all(|home| home.settled_keys(now, 10).is_empty()));
}

#[test]
fn keeps_the_more_certain_settlement() {
    let now = Duration::from_secs(10);
    let settled = |known| SettledKey { id: id(), known, ttl: Duration::from_secs(60) };
    let ended = |outcome| {
        let fingerprint = Some("f".into());
        settled(HandOver::Finished { fingerprint, runner: runner(), outcome })
    };
    let settlements = || {
        let ends = [Outcome::MayHaveRun, Outcome::Answered].map(ended);
        [settled(HandOver::Voided)].into_iter().chain(ends)
    };
    for (first, settlement) in settlements().enumerate() {
        for (second, other) in settlements().enumerate() {
            let mut index = KeyIndex::new(KeyIndexConfig::default(), Duration::ZERO);
            index.merge_settled(now, settlement.clone());
            index.merge_settled(now, other);
            let known = index.settled_key(now, &id()).map(|key| key.known);
            assert_eq!(known, settlements().nth(first.max(second)).map(|key| key.known));
        }
    }
    let mut index = KeyIndex::new(KeyIndexConfig::default(), Duration::ZERO);
    index.register(now, id(), "f".into(), runner(), HomeTenure::Established);
    index.request_dispatch(now, &id(), &runner(), "u".into());
    index.merge_settled(now, settled(HandOver::Voided));
    assert!(index.open_run(&id()).is_some(), "the void replaced a dispatched run");
}

#[test]
fn claim_of_a_dispatched_run_withdraws_the_void() {
    let now = Duration::from_secs(10);
    let mut index = KeyIndex::new(KeyIndexConfig::default(), Duration::ZERO);
    index.void(now, &id(), HomeTenure::Established);
    let progress = Progress::Dispatched { upstream: "u".into() };
    let run = Announcement { id: id(), fingerprint: "f".into(), runner: runner(), progress };
    index.withdraw_void(now, run.clone());
    assert_eq!(index.open_run(&id()), Some(run));
    let repeat = Runner { incarnation: 2, ..runner() };
    let verdict = index.register(now, id(), "f".into(), repeat, HomeTenure::Established);
    assert!(matches!(verdict, RegisterVerdict::Joined { .. }), "{verdict:?}");
    assert_eq!(index.violations(), 0);
}
