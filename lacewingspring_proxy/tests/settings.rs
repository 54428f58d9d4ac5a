//! Settings of an instance, checked whole.

use lacewingspring_proxy::settings::{Machine, Settings};
use serde_json::{Value, json};

fn sound() -> Value {
    json!({
        "instance": "i1",
        "data_centre": "a",
        "machine": {"cores": 0.25, "speed": 1},
        "listen": {
            "callers": "127.0.0.1:8221", "readiness": "127.0.0.1:8224",
            "directory": "127.0.0.1:8220", "peers": "127.0.0.1:7600", "metrics": "127.0.0.1:9464",
        },
        "store": "127.0.0.1:8225",
        "bounds": {
            "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
            "quota_window_s": 8, "directory_ttl_s": 5, "min_lease_ms": 1000,
        },
    })
}

/// Returns what is said of settings in which one value is replaced.
fn said(section: &str, key: &str, value: Value) -> String {
    let mut settings = sound();
    settings[section][key] = value;
    let read: Result<Settings, _> = serde_json::from_str(&settings.to_string());
    match read.map(|settings| settings.check()) {
        Ok(Ok(())) => String::new(),
        Ok(Err(e)) => e.to_string(),
        Err(e) => e.to_string(),
    }
}

#[test]
fn takes_sound_settings() {
    assert_eq!(said("bounds", "grace_s", json!(8.5)), "");
}

#[test]
fn names_the_setting_that_can_not_be() {
    let range = "not from 0 to 86400";
    assert_eq!(said("bounds", "grace_s", json!(-1)), format!("bounds.grace_s is -1, {range}"));
    let long = said("bounds", "quota_window_s", json!(1e9));
    assert_eq!(long, format!("bounds.quota_window_s is 1000000000, {range}"));
    assert_eq!(
        said("machine", "cores", json!(-0.1)),
        "machine.cores is -0.1, not from 0 to 1000000"
    );
    assert!(said("bounds", "grace", json!(1)).contains("unknown field `grace`"));
    assert!(said("listen", "callers", json!("nowhere")).contains("invalid socket address"));
}

#[test]
fn tells_the_processor_of_a_machine() {
    assert_eq!(Machine { cores: 0.12, speed: 2.0, link_mbps: 8.0 }.millicores(), 240);
    assert_eq!(Machine { cores: 0.12, speed: 2.0, link_mbps: 8.0 }.link_bytes(), Some(1e6));
    assert_eq!(Machine::default().millicores(), 0, "it isn't known");
    assert_eq!(Machine::default().link_bytes(), None);
}
