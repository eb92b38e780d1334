//! Tests of the parser of scenario files.

use std::fs;
use std::path::Path;

use scenario::parse;

const FULL: &str = include_str!("full.scenario");

/// Guards against statements that parse to something else than they state.
#[test]
fn full_scenario() {
    let script = parse::parse_script(FULL).expect("the scenario is valid");
    insta::assert_debug_snapshot!(script);
}

fn error_of(text: &str) -> String {
    parse::parse_script(text).expect_err("the scenario is not valid").to_string()
}

/// Guards against parser errors that do not show the position and what is accepted there.
#[test]
fn error_messages() {
    const CELL: &str =
        "domain a { entries 2 workers 1 }\nteam north\nteam south\nqueue q team north\n";
    let cases = [
        "domain a { entries two }",
        "domain a { entries 0 }",
        "domain a { entries 100 workers 21 }",
        "domain a { entries 1 }\ndomain a { entries 1 }",
        "team north share 0",
        "queue q team north",
        "wait 2",
        "wait until raedy 2s",
        "kill entry b.owner",
        "kill a.3",
        "kill worker a.owner",
        "start old",
        "load q team west to a rate 5/s for 1s",
        "load q team north to a rate 5/s",
        "load q team north to a rate 0/s for 1s",
        "load q team north to a key other rate 5/s for 1s",
        "load q team south to a key north rate 5/s for 1s",
        "cut a from b",
        "cut a from platform 5s",
        "delay a from platform",
        "heal split",
        "worker a.1 fault answer-delay",
        "worker a.1 fault swap-ids 5s",
        "apply limit north",
        "apply withdraw key other",
        "race { apply share north 2 }",
        "expect apply first accepted within 1s",
        "expect answered at all 5",
        "expect gap in a under 99999999999999999999s",
    ];
    let mut report = String::new();
    for case in cases {
        let needs_cell = !["domain", "team", "queue"].iter().any(|word| case.starts_with(word));
        let text = if needs_cell { format!("{CELL}{case}") } else { case.to_owned() };
        report.push_str(&error_of(&text));
        report.push_str("\n\n");
    }
    insta::assert_snapshot!(report);
}

/// Guards against errors whose line and column point editors to the wrong place.
#[test]
fn error_has_line_and_column() {
    let error = parse::parse_script("# comment\n\ndomain a { }\n  heal split\n");
    let error = error.expect_err("no fault has this name");
    assert_eq!((error.line, error.column), (4, 8));
}

/// Guards against scenario files whose errors show up only when they are run.
#[test]
fn repository_scenarios_are_valid() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios");
    for file in fs::read_dir(dir).expect("the scenarios are in the repository") {
        let path = file.expect("a directory entry can be read").path();
        let text = fs::read_to_string(&path).expect("the file can be read");
        let script = parse::parse_script(&text)
            .unwrap_or_else(|error| panic!("{}:\n{error}", path.display()));
        assert!(text.starts_with("# Guards against"), "{}: no purpose", path.display());
        assert!(!script.steps.is_empty(), "{}: no steps", path.display());
    }
}
