//! Parsing of the settings file: each error names the key, the line and the accepted values.

use std::process::{Command, Output};

use lacewingspring::{peers::Authority, settings::Settings};
use quickcheck::{Gen, QuickCheck};
use tempfile::TempDir;

const VALID: &str = r#"{
  "instance": "counter-1",
  "data_centre": "cluj",
  "listen": { "callers": "127.0.0.1:7000", "peers": "127.0.0.1:7500" },
  "key_value": { "endpoints": ["127.0.0.1:2379"] },
  "instance_list": { "endpoint": "127.0.0.1:8500" },
  "authority": { "certificate": "authority.pem", "key": "authority.key" },
  "operators": [
    { "name": "root", "role": "change",
      "credential": "2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90" },
    { "name": "second", "role": "read",
      "credential": "3bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90" }
  ],
  "timing": { "heartbeat_ms": 200 }
}"#;

#[test]
fn accepts_valid_settings() {
    Settings::parse(VALID).expect("valid settings");
}

/// A temporary folder with an authority's files and a settings file.
struct Folder(TempDir);

impl Folder {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("creates a temporary folder");
        Authority::create().and_then(|it| it.write(folder.path())).expect("writes the authority");
        Self(folder)
    }

    /// Runs the daemon in this folder with these settings, with `--check` if `check` is set.
    fn run(&self, text: &str, check: bool) -> Output {
        std::fs::write(self.0.path().join("settings.json"), text).expect("writes the settings");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingspring"));
        command.current_dir(self.0.path()).args(["--settings", "settings.json"]);
        command.args(check.then_some("--check")).output().expect("runs the daemon")
    }
}

/// Name of a fault, the text to replace in `VALID`, and its replacement.
const FAULTS: [(&str, &str, &str); 29] = [
    ("unknown key", "\"instance\":", "\"instanse\":"),
    ("unknown nested key", "\"heartbeat_ms\"", "\"hartbeat_ms\""),
    ("missing key", "  \"data_centre\": \"cluj\",\n", ""),
    ("duplicate key", "\"data_centre\":", "\"instance\": \"b\", \"data_centre\":"),
    ("wrong type", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": \"soon\""),
    ("wrong type of a section", "{ \"heartbeat_ms\": 200 }", "200"),
    ("zero", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": 0"),
    ("negative", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": -1"),
    ("too large", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": 99999999999"),
    ("zero port", "127.0.0.1:7000", "127.0.0.1:0"),
    ("zero port of the instance list", "127.0.0.1:8500", "127.0.0.1:0"),
    (
        "zero port of statsd",
        "\"timing\":",
        "\"metrics\": { \"statsd\": \"127.0.0.1:0\" },\n  \"timing\":",
    ),
    ("host name", "127.0.0.1:7000", "localhost:7000"),
    ("no endpoint", "[\"127.0.0.1:2379\"]", "[]"),
    ("duplicate endpoint", "[\"127.0.0.1:2379\"]", "[\"127.0.0.1:2379\", \"127.0.0.1:2379\"]"),
    ("zero in a nested key", "2379\"] }", "2379\"], \"timeout_ms\": 0 }"),
    ("bad prefix", "2379\"] }", "2379\"], \"prefix\": \"fleet\" }"),
    ("bad name", "counter-1", "counter 1"),
    ("empty name", "counter-1", ""),
    ("empty service", "127.0.0.1:8500\" }", "127.0.0.1:8500\", \"service\": \"\" }"),
    ("bad operator name", "\"second\"", "\"\""),
    ("bad digest", "2bd806c9", "zzd806c9"),
    ("unknown section", "\"timing\": {", "\"poison\": { \"watch\": false }, \"timing\": {"),
    ("unknown role", "\"change\"", "\"owner\""),
    ("duplicate operator name", "\"second\"", "\"root\""),
    ("not JSON", "\"instance\": \"counter-1\",", "\"instance\": \"counter-1\""),
    ("missing certificate file", "\"authority.pem\"", "\"absent.pem\""),
    ("missing key file", "\"authority.key\"", "\"absent.key\""),
    ("certificate file in place of the key file", "\"authority.key\"", "\"authority.pem\""),
];

#[test]
fn errors_name_key_line_and_accepted_values() {
    let folder = Folder::new();
    let mut lines = String::new();
    for (name, from, to) in FAULTS {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID, "{name}");
        for check in [true, false] {
            let output = folder.run(&text, check);
            assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{name}");
            let e = String::from_utf8(output.stderr).expect("output in UTF-8");
            assert_eq!(e.lines().count(), 1, "{name}: {e}");
            if check {
                lines.push_str(&format!("{name}: {e}"));
            } else {
                assert!(lines.ends_with(&format!("{name}: {e}")), "{name}: {e}");
            }
        }
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn check_validates_without_starting() {
    let folder = Folder::new();
    let output = folder.run(VALID, true);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "The settings are valid.\n");
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    std::fs::remove_file(folder.0.path().join("settings.json")).expect("removes the settings");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingspring"));
    command.current_dir(folder.0.path()).args(["--settings", "settings.json", "--check"]);
    let output = command.output().expect("runs the daemon");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}

#[test]
fn never_panics_on_any_text() {
    fn parses_or_fails(text: String, at: usize, removed: usize) -> bool {
        let _ = Settings::parse(&text);
        let at = at % VALID.len();
        let end = (at + removed % 40).min(VALID.len());
        let _ = Settings::parse(&format!("{}{text}{}", &VALID[..at], &VALID[end..]));
        true
    }
    let check: fn(String, usize, usize) -> bool = parses_or_fails;
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 7)).tests(2_000).quickcheck(check);
}
