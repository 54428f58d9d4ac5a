//! Checks the operators' page against the commands, options and exit codes of the tool.

use std::{fs, path::PathBuf};

use crate::support::run;

mod support;

/// Name of the tool and a space, with which each command on the page starts.
const TOOL: &str = "lacewingspring_ctl ";

fn operating_page() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATING.md");
    fs::read_to_string(path).unwrap()
}

/// Returns the arguments of each command in the code of a page.
fn commands(page: &str) -> Vec<Vec<&str>> {
    let after_tool = page.split(TOOL).skip(1);
    let code = after_tool.map(|text| text.split(['`', '\n', '#']).next().unwrap_or_default());
    code.map(|code| code.split_whitespace().collect()).collect()
}

#[test]
fn exit_codes_match_the_help() {
    let help = run(&["--help"]).stdout;
    let codes = help.split("EXIT STATUS:\n").nth(1).unwrap().split("\n\n").next().unwrap();
    let codes: Vec<_> = codes.lines().filter_map(|line| line.trim().split_once("  ")).collect();
    let page = operating_page();
    let table = page.split("`lacewingspring_ctl`:\n").nth(1).unwrap();
    let rows = table
        .trim_start()
        .lines()
        .skip(2)
        .map_while(|line| line.strip_prefix("| ")?.strip_suffix(" |")?.split_once(" | "));
    assert_eq!(rows.collect::<Vec<_>>(), codes);
}

#[test]
fn commands_and_options_exist() {
    let page = operating_page();
    let commands = commands(&page);
    assert!(commands.len() > 10, "{commands:?}");
    for args in commands {
        let is_value = |i: usize| i > 0 && matches!(args[i - 1], "--address" | "--token-file");
        let command = (0..args.len()).find(|i| !args[*i].starts_with('-') && !is_value(*i));
        let command = args[command.unwrap_or_else(|| panic!("{args:?} has no command"))];
        let help = run(&[command, "--help"]);
        assert_eq!(help.code, 0, "{args:?}: {}", help.stderr);
        for option in args.iter().filter(|arg| arg.starts_with('-')) {
            let known = help.stdout.split([' ', ',', '\n']).any(|word| word == *option);
            assert!(known, "{args:?}: {option}");
        }
    }
}
