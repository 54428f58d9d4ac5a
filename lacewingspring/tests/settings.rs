//! Settings: each fault names its key, its line and what is accepted.

use lacewingspring::settings::Settings;
use quickcheck::{Gen, QuickCheck};

const SOUND: &str = r#"{
  "instance": "counter-1",
  "data_centre": "cluj",
  "listen": { "callers": "127.0.0.1:7000", "peers": "127.0.0.1:7500" },
  "key_value": { "endpoints": ["127.0.0.1:2379"] },
  "instance_list": { "endpoint": "127.0.0.1:8500" },
  "authority": { "certificate": "authority.pem", "key": "authority.key" },
  "operators": [
    { "name": "root", "role": "change",
      "credential": "2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90" }
  ],
  "timing": { "heartbeat_ms": 200 }
}"#;

#[test]
fn accepts_sound_settings() {
    Settings::parse(SOUND).expect("sound settings");
}

#[test]
fn names_key_line_and_what_is_accepted() {
    let faults = [
        ("unknown key", "\"instance\":", "\"instanse\":"),
        ("unknown nested key", "\"heartbeat_ms\"", "\"hartbeat_ms\""),
        ("wrong type", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": \"soon\""),
        ("zero", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": 0"),
        ("absurd", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": 99999999999"),
        ("no port", "127.0.0.1:7000", "127.0.0.1:0"),
        ("host name", "127.0.0.1:7000", "localhost:7000"),
        ("no endpoint", "[\"127.0.0.1:2379\"]", "[]"),
        ("bad name", "counter-1", "counter 1"),
        ("bad digest", "2bd806c9", "zzd806c9"),
        (
            "no section of its own",
            "\"timing\": {",
            "\"poison\": { \"watch\": false }, \"timing\": {",
        ),
        ("bad role", "\"change\"", "\"owner\""),
        ("not JSON", "\"instance\": \"counter-1\",", "\"instance\": \"counter-1\""),
    ];
    let mut lines = String::new();
    for (name, from, to) in faults {
        let text = SOUND.replace(from, to);
        assert_ne!(text, SOUND, "{name}");
        let e = Settings::parse(&text).expect_err(name);
        lines.push_str(&format!("{name}: {e}\n"));
    }
    let twice = SOUND.replace("\"operators\": [", "\"operators\": [\n    { \"name\": \"root\", \"role\": \"read\",\n      \"credential\": \"2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90\" },");
    let e = Settings::parse(&twice).expect_err("duplicate name");
    lines.push_str(&format!("duplicate name: {e}\n"));
    insta::assert_snapshot!(lines);
}

#[test]
fn never_panics_on_any_text() {
    fn parses_or_fails(text: String, at: usize, cut: usize) -> bool {
        let _ = Settings::parse(&text);
        let at = at % SOUND.len();
        let end = (at + cut % 40).min(SOUND.len());
        let _ = Settings::parse(&format!("{}{text}{}", &SOUND[..at], &SOUND[end..]));
        true
    }
    let check: fn(String, usize, usize) -> bool = parses_or_fails;
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 7)).tests(2_000).quickcheck(check);
}
