//! The command-line tool against daemon processes; most commands run with table and with JSON
//! output.

use std::{net::SocketAddr, process::Command};

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{DESK_TOKEN, Fleet, FleetConfig, OPERATOR_TOKEN, binary};

mod support;

/// Commands that each shell completion script must contain.
const COMMANDS: [&str; 13] = [
    "apply",
    "diff",
    "get",
    "describe",
    "delete",
    "wait",
    "status",
    "addresses",
    "ask",
    "request",
    "metrics",
    "explain",
    "completion",
];

/// Runs the tool against one instance and records its output.
struct Session {
    address: SocketAddr,
    token: &'static str,
    folder: TempDir,
    transcript: String,
}

impl Session {
    fn new(fleet: &Fleet, token: &'static str) -> Self {
        let folder = tempfile::tempdir().expect("creates a temporary folder");
        let address = fleet.instances[0].caller_address;
        Self { address, token, folder, transcript: String::new() }
    }

    fn write(&self, name: &str, value: &Value) {
        let path = self.folder.path().join(name);
        std::fs::write(path, value.to_string()).expect("writes a file");
    }

    /// Runs a command and checks its exit code (see `Exit` of the tool); returns its standard
    /// output, or its standard error if that is empty.
    fn run(&mut self, code: i32, args: &str) -> String {
        let mut command = Command::new(binary("lacewingspring_ctl"));
        command.env_clear().env("LACEWINGSPRING_TOKEN", self.token);
        command.current_dir(self.folder.path());
        command.arg("--address").arg(self.address.to_string()).args(args.split(' '));
        let output = command.output().expect("runs the tool");
        let stdout = String::from_utf8(output.stdout).expect("output in UTF-8");
        let stderr = String::from_utf8(output.stderr).expect("output in UTF-8");
        assert_eq!(output.status.code(), Some(code), "{args}: {stdout}{stderr}");
        let printed = redact(&format!("{stderr}{stdout}"), self.address);
        self.transcript.push_str(&format!("$ {args}\n{printed}[exit code {code}]\n\n"));
        if stdout.is_empty() { stderr } else { stdout }
    }

    /// Runs a command with table and with JSON output; the JSON must parse.
    fn run_as_table_and_json(&mut self, code: i32, args: &str) {
        self.run(code, args);
        let printed = self.run(code, &format!("{args} --output json"));
        // If a request fails, its key precedes the JSON of the problem on standard error.
        let json = printed.find('{').map(|at| &printed[at..]);
        let parsed = json.and_then(|json| serde_json::from_str::<Value>(json).ok());
        assert!(parsed.is_some(), "{args}: {printed}");
    }
}

/// Purposes of calls to the key-value service; the counts vary from run to run.
const PURPOSES: [&str; 5] = ["watch", "commit", "claim", "lease", "poison"];

/// Replaces the parts that vary from run to run: the loopback address, times, ages and counts, and
/// the column widths that depend on them.
fn redact(text: &str, address: SocketAddr) -> String {
    let text = text.replace(&address.ip().to_string(), "IP");
    text.lines().map(|line| redact_line(line) + "\n").collect()
}

fn redact_line(line: &str) -> String {
    for key in ["\"at\": ", "\"heartbeat_age_ms\": ", "\"calls\": "] {
        if let Some((before, _)) = line.split_once(key) {
            return format!("{before}{key}NUMBER");
        }
    }
    let mut cells: Vec<&str> = line.split("  ").map(str::trim).collect();
    cells.retain(|cell| !cell.is_empty());
    let is_time = |cell: &&mut &str| cell.len() == 24 && cell.ends_with('Z');
    if cells.len() == 2 && PURPOSES.contains(&cells[0]) {
        cells[1] = "NUMBER";
        return cells.join("  ");
    }
    if let Some(at) = cells.first_mut().filter(is_time) {
        *at = "TIME";
        return cells.join("  ");
    }
    if line.starts_with("instance-") && cells.len() == 6 {
        cells[5] = "AGE";
    }
    let is_table = cells.iter().any(|cell| *cell == "ADDRESS" || cell.starts_with("IP:"));
    if is_table { cells.join("  ") } else { line.to_owned() }
}

fn tier(name: &str, rank: u8) -> Value {
    json!({ "kind": "tier", "name": name, "spec": { "rank": rank } })
}

#[tokio::test(flavor = "multi_thread")]
async fn declares_shows_and_removes_resources() {
    let fleet = Fleet::start(FleetConfig { data_centres: 2, ..FleetConfig::default() }).await;
    let mut ctl = Session::new(&fleet, OPERATOR_TOKEN);
    ctl.write("spare.json", &tier("spare", 5));
    ctl.write("taken.json", &tier("taken", 5));
    ctl.run_as_table_and_json(1, "diff -f spare.json");
    ctl.run(0, "apply -f spare.json --wait");
    ctl.run(0, "apply -f spare.json --wait --output json");
    ctl.run_as_table_and_json(0, "diff -f spare.json");
    ctl.run_as_table_and_json(3, "apply -f taken.json");
    ctl.run_as_table_and_json(4, "apply -f taken.json --expect-generation 1");
    ctl.run_as_table_and_json(0, "get tier");
    ctl.run_as_table_and_json(0, "describe tier spare");
    ctl.run_as_table_and_json(0, "wait --generation 2");
    ctl.run_as_table_and_json(1, "wait --generation 99 --timeout 0.2");
    ctl.run_as_table_and_json(0, "delete tier spare --dry-run");
    ctl.run(0, "delete tier spare --wait");
    ctl.run_as_table_and_json(6, "describe tier spare");
    ctl.run_as_table_and_json(3, "delete tier counter");
    insta::assert_snapshot!(ctl.transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn shows_the_fleet_and_asks_its_services() {
    let fleet = Fleet::start(FleetConfig { data_centres: 2, ..FleetConfig::default() }).await;
    let mut ctl = Session::new(&fleet, OPERATOR_TOKEN);
    ctl.run_as_table_and_json(0, "status");
    ctl.run_as_table_and_json(0, "addresses");
    ctl.token = DESK_TOKEN;
    ctl.run_as_table_and_json(0, "ask lookup seven --key k1 --max-tokens 5");
    ctl.run(0, "ask booking {\"seat\":4,\"client\":\"north\"} --key k2 --plain seats");
    ctl.run_as_table_and_json(6, "ask absent seven --key k3");
    ctl.run_as_table_and_json(5, "status");
    insta::assert_snapshot!(ctl.transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn prints_completion_scripts_and_reports_an_unreachable_instance() {
    let mut fleet = Fleet::start(FleetConfig { instances: 1, ..FleetConfig::default() }).await;
    let mut ctl = Session::new(&fleet, OPERATOR_TOKEN);
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let script = ctl.run(0, &format!("completion {shell}"));
        assert!(COMMANDS.iter().all(|command| script.contains(command)), "{shell}: {script}");
    }
    ctl.run(2, "completion csh");
    ctl.run(2, "get nonsense");
    fleet.instances[0].process.kill();
    ctl.run(7, "status");
}
