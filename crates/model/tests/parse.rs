//! Tests that errors in files state the line, object and field to correct.

use model::check::CheckProblem;
use model::object::ObjectSet;
use model::setting::EntrySettings;

fn lines(problems: &[CheckProblem]) -> String {
    problems.iter().flat_map(|problem| [problem.to_string(), "\n".to_owned()]).collect()
}

fn set_problems(text: &str) -> String {
    lines(&ObjectSet::parse(text).expect_err("the set is malformed"))
}

fn setting_problems(text: &str) -> String {
    lines(&EntrySettings::parse(text).expect_err("the settings are refused"))
}

/// Guards against a malformed object that hides later ones, and against wrong line numbers.
#[test]
fn malformed_objects_are_all_listed() {
    insta::assert_snapshot!(set_problems(include_str!("data/malformed.json")));
}

/// Guards against errors outside objects without a line number, and against a duplicate section
/// that silently replaces the first.
#[test]
fn malformed_sets_are_refused() {
    let texts = [
        "",
        "{\n  \"teams\": [\n",
        "{\n  \"taems\": []\n}",
        "{\n  \"teams\": {}\n}",
        "{\"teams\": [],\n \"teams\": []}",
        "[]",
    ];
    let found: Vec<String> = texts.into_iter().map(set_problems).collect();
    insta::assert_snapshot!(found.concat());
}

/// Guards against a misspelt or out-of-range setting that is not reported along with the others.
#[test]
fn every_setting_problem_is_listed() {
    insta::assert_snapshot!(setting_problems(include_str!("data/settings.json")));
}

/// Guards against a panic, or default settings, when the file holds no settings.
#[test]
fn settings_that_are_not_objects_are_refused() {
    let texts = ["", "[]", "{}", "{\"threads\": 1, \"threads\": 2}"];
    let found: Vec<String> = texts.into_iter().map(setting_problems).collect();
    insta::assert_snapshot!(found.concat());
}

/// Guards against a duplicate field whose last value silently wins in otherwise valid settings.
#[test]
fn duplicate_settings_are_refused() {
    let text = include_str!("../../../examples/entry.json");
    let text = text.replacen("\"threads\": 2", "\"threads\": 2, \"threads\": 3", 1);
    insta::assert_snapshot!(setting_problems(&text));
}

/// Guards against an unusable example file, and against defaults outside their own ranges.
#[test]
fn example_and_minimal_settings_pass() {
    let example = include_str!("../../../examples/entry.json");
    assert_eq!(EntrySettings::parse(example).expect("the example passes").threads, 2);
    let minimal = r#"{"name": "e1", "domain": "d1", "http_address": "127.0.0.1:80",
        "peer_address": "127.0.0.1:81", "platform_address": "127.0.0.1:82"}"#;
    let settings = EntrySettings::parse(minimal).expect("defaults pass");
    assert_eq!((settings.config_contact_bound_s, settings.seed), (300, None));
}
