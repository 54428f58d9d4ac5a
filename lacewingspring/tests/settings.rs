//! Settings: each fault names its key, its line and what is accepted.

use std::process::{Command, Output};

use lacewingspring::{peers::Authority, settings::Settings};
use quickcheck::{Gen, QuickCheck};
use tempfile::TempDir;

const SOUND: &str = r#"{
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
fn accepts_sound_settings() {
    Settings::parse(SOUND).expect("sound settings");
}

/// A folder with an authority of its own and one settings file.
struct Folder(TempDir);

impl Folder {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("makes a folder");
        Authority::create().and_then(|it| it.write(folder.path())).expect("an authority");
        Self(folder)
    }

    /// Runs the daemon's program on these settings, in this folder.
    fn run(&self, text: &str, check: bool) -> Output {
        std::fs::write(self.0.path().join("settings.json"), text).expect("writes settings");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingspring"));
        command.current_dir(self.0.path()).args(["--settings", "settings.json"]);
        command.args(check.then_some("--check")).output().expect("runs the daemon")
    }
}

/// Name of a fault, text to replace, and what makes the fault.
const FAULTS: [(&str, &str, &str); 29] = [
    ("unknown key", "\"instance\":", "\"instanse\":"),
    ("unknown nested key", "\"heartbeat_ms\"", "\"hartbeat_ms\""),
    ("missing key", "  \"data_centre\": \"cluj\",\n", ""),
    ("key given twice", "\"data_centre\":", "\"instance\": \"b\", \"data_centre\":"),
    ("wrong type", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": \"soon\""),
    ("wrong type of a section", "{ \"heartbeat_ms\": 200 }", "200"),
    ("zero", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": 0"),
    ("negative", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": -1"),
    ("absurd", "\"heartbeat_ms\": 200", "\"heartbeat_ms\": 99999999999"),
    ("no port", "127.0.0.1:7000", "127.0.0.1:0"),
    ("no port of the list", "127.0.0.1:8500", "127.0.0.1:0"),
    (
        "no port of statsd",
        "\"timing\":",
        "\"metrics\": { \"statsd\": \"127.0.0.1:0\" },\n  \"timing\":",
    ),
    ("host name", "127.0.0.1:7000", "localhost:7000"),
    ("no endpoint", "[\"127.0.0.1:2379\"]", "[]"),
    ("endpoint twice", "[\"127.0.0.1:2379\"]", "[\"127.0.0.1:2379\", \"127.0.0.1:2379\"]"),
    ("zero of a section", "2379\"] }", "2379\"], \"timeout_ms\": 0 }"),
    ("bad prefix", "2379\"] }", "2379\"], \"prefix\": \"fleet\" }"),
    ("bad name", "counter-1", "counter 1"),
    ("empty name", "counter-1", ""),
    ("empty service", "127.0.0.1:8500\" }", "127.0.0.1:8500\", \"service\": \"\" }"),
    ("bad name of an operator", "\"second\"", "\"\""),
    ("bad digest", "2bd806c9", "zzd806c9"),
    ("no section of its own", "\"timing\": {", "\"poison\": { \"watch\": false }, \"timing\": {"),
    ("bad role", "\"change\"", "\"owner\""),
    ("duplicate name", "\"second\"", "\"root\""),
    ("not JSON", "\"instance\": \"counter-1\",", "\"instance\": \"counter-1\""),
    ("certificate that is not there", "\"authority.pem\"", "\"absent.pem\""),
    ("key that is not there", "\"authority.key\"", "\"absent.key\""),
    ("certificate in place of the key", "\"authority.key\"", "\"authority.pem\""),
];

#[test]
fn names_key_line_and_what_is_accepted() {
    let folder = Folder::new();
    let mut lines = String::new();
    for (name, from, to) in FAULTS {
        let text = SOUND.replacen(from, to, 1);
        assert_ne!(text, SOUND, "{name}");
        for check in [true, false] {
            let output = folder.run(&text, check);
            assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{name}");
            let e = String::from_utf8(output.stderr).expect("text");
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
fn check_validates_alone() {
    let folder = Folder::new();
    let output = folder.run(SOUND, true);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "The settings are valid.\n");
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    std::fs::remove_file(folder.0.path().join("settings.json")).expect("removes settings");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingspring"));
    command.current_dir(folder.0.path()).args(["--settings", "settings.json", "--check"]);
    let output = command.output().expect("runs the daemon");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr));
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
