//! Parsing and validation of the settings of an instance.

use lacewingspring_proxy::settings::{Machine, Settings};
use serde_json::{Value, json};

fn valid_settings() -> Value {
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

/// Returns the error for valid settings in which one value is replaced; empty if there is none.
fn settings_error(section: &str, key: &str, value: Value) -> String {
    let mut settings = valid_settings();
    settings[section][key] = value;
    let parsed: Result<Settings, _> = serde_json::from_str(&settings.to_string());
    match parsed.map(|settings| settings.check()) {
        Ok(Ok(())) => String::new(),
        Ok(Err(e)) => e.to_string(),
        Err(e) => e.to_string(),
    }
}

#[test]
fn accepts_valid_settings() {
    assert_eq!(settings_error("bounds", "grace_s", json!(8.5)), "");
}

#[test]
fn reports_the_setting_that_is_out_of_range_or_invalid() {
    let range = "expected a value from 0 to 86400";
    assert_eq!(
        settings_error("bounds", "grace_s", json!(-1)),
        format!("bounds.grace_s is -1, {range}")
    );
    let too_long = settings_error("bounds", "quota_window_s", json!(1e9));
    assert_eq!(too_long, format!("bounds.quota_window_s is 1000000000, {range}"));
    assert_eq!(
        settings_error("machine", "cores", json!(-0.1)),
        "machine.cores is -0.1, expected a value from 0 to 1000000"
    );
    assert!(settings_error("bounds", "grace", json!(1)).contains("unknown field `grace`"));
    assert!(
        settings_error("listen", "callers", json!("nowhere")).contains("invalid socket address")
    );
}

#[test]
fn converts_the_resources_of_a_machine() {
    let machine = Machine { cores: 0.12, speed: 2.0, link_mbps: 8.0, ..Machine::default() };
    assert_eq!(machine.millicores(), 240);
    assert_eq!(machine.link_bytes_per_s(), Some(1e6));
    assert_eq!(Machine::default().millicores(), 0, "the processor is not known");
    assert_eq!(Machine::default().link_bytes_per_s(), None);
}

/// Guards against bounds on roll-outs that would allow anything.
#[test]
fn checks_the_optional_bounds_of_roll_outs() {
    let roll_out = |share: f64| {
        let mut settings = valid_settings();
        settings["roll_out"] =
            json!({"share": share, "tolerance": 50, "rollback_timeout_ms": 5000});
        let settings: Settings = serde_json::from_value(settings).expect("valid settings");
        settings.check().map_err(|e| e.to_string())
    };
    assert_eq!(roll_out(0.1), Ok(()));
    let error = "roll_out.share is 1.5, expected a value from 0 to 1".to_owned();
    assert_eq!(roll_out(1.5), Err(error));
    let settings: Settings = serde_json::from_value(valid_settings()).expect("valid settings");
    assert!(settings.roll_out.is_none());
}

/// Guards against a bound on the store's keys that no configuration fits in, where the settings
/// state too little memory.
#[test]
fn leaves_room_for_the_keys_of_a_small_fleet() {
    let max_bytes = |memory_mb| Machine { memory_mb, ..Machine::default() }.max_topic_bytes();
    assert_eq!(max_bytes(None), usize::MAX);
    assert_eq!(max_bytes(Some(112.0)), 7_000_000);
    for memory_mb in [0.0, 0.001, 1.0, 16.0] {
        assert_eq!(max_bytes(Some(memory_mb)), 1_000_000, "{memory_mb} MB");
    }
}

/// Guards against shares in services whose upstreams report no pace, where the settings do not ask
/// for them.
#[test]
fn shares_are_off_unless_the_settings_ask_for_them() {
    let shares = |value: Option<Value>| {
        let mut settings = valid_settings();
        if let Some(value) = value {
            settings["shares"] = value;
        }
        let settings: Result<Settings, _> = serde_json::from_value(settings);
        settings.map(|settings| settings.shares).map_err(|e| e.to_string())
    };
    assert_eq!(shares(None), Ok(false));
    assert_eq!(shares(Some(json!(true))), Ok(true));
    assert!(shares(Some(json!(1))).is_err());
}
