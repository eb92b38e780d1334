//! Tests of the check of object sets, which must find every inconsistency before publication.

use model::check::{CheckProblem, check_set};
use model::object::ObjectSet;
use model::resource::ResourceAmounts;

fn lines(problems: &[CheckProblem]) -> String {
    problems.iter().flat_map(|problem| [problem.to_string(), "\n".to_owned()]).collect()
}

fn example(name: &str) -> ObjectSet {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    let text = std::fs::read_to_string(format!("{folder}{name}.json")).expect("example exists");
    ObjectSet::parse(&text).expect("example parses")
}

/// Guards against examples that the check refuses, for example after a new rule.
#[test]
fn examples_pass() {
    for name in ["meskel", "dunmore"] {
        let set = example(name);
        assert_eq!(set.workers.len(), 50, "{name}");
        assert_eq!(set.teams.len(), 6, "{name}");
        assert_eq!(lines(&check_set(&set)), "", "{name}");
    }
}

/// Guards against example keys that refuse their documented secrets.
#[test]
fn example_secrets_match_their_digests() {
    for site in ["meskel", "dunmore"] {
        for key in example(site).keys {
            let secret = format!("example-{site}-{}", key.team);
            assert_eq!(key.digest, model::object::key_digest(&secret), "{}", key.name);
        }
    }
}

/// Guards against a rule that does not run or stops at its first problem; its lines would be
/// missing from the snapshot.
#[test]
fn every_problem_is_listed() {
    let set = ObjectSet::parse(include_str!("data/broken.json")).expect("the set parses");
    insta::assert_snapshot!(lines(&check_set(&set)));
}

/// Guards against rules that are too strict: operators stop a team by a limit of 0, and a job
/// class may use slots.
#[test]
fn deliberate_zero_limit_and_job_slots_pass() {
    let mut set = example("meskel");
    set.limits[0].amounts = ResourceAmounts::ZERO;
    let batch = set.classes.iter_mut().find(|class| class.name.as_str() == "weekly-summary");
    batch.expect("class exists").amounts.slots = 1;
    assert_eq!(lines(&check_set(&set)), "");
}

/// Guards against off-by-one errors in ranges: each boundary is accepted, the value next to it
/// is refused.
#[test]
fn ranges_hold_at_their_boundaries() {
    let problems = |change: &dyn Fn(&mut ObjectSet)| {
        let mut set = example("dunmore");
        change(&mut set);
        check_set(&set).len()
    };
    for (weight, count) in [(0, 1), (1, 0), (10_000, 0), (10_001, 1)] {
        assert_eq!(problems(&|set| set.shares[0].weight = weight), count, "weight {weight}");
    }
    for (bound, count) in [(0, 1), (1, 0), (100_000, 0), (100_001, 1)] {
        assert_eq!(problems(&|set| set.queues[0].bound = bound), count, "bound {bound}");
    }
    for (connections, count) in [(0, 1), (1, 0), (1024, 0), (1025, 1)] {
        let change = |set: &mut ObjectSet| set.workers[0].connections = connections;
        assert_eq!(problems(&change), count, "connections {connections}");
    }
    for (length, count) in [(63, 0), (64, 1)] {
        let change = |set: &mut ObjectSet| set.workers[0].name = "a".repeat(length).into();
        assert_eq!(problems(&change), count, "name of {length}");
    }
}

/// Guards against a check that compares every pair of workers, which would take seconds at the
/// design size of 2300 workers.
#[test]
fn design_size_is_checked_quickly() {
    let mut set = example("meskel");
    let template = set.workers.remove(0);
    set.workers = (0..2300)
        .map(|index| model::object::WorkerObject {
            name: format!("w{index}").into(),
            address: format!("10.0.{}.{}:8100", index / 250, index % 250),
            ..template.clone()
        })
        .collect();
    let start = std::time::Instant::now();
    assert_eq!(lines(&check_set(&set)), "");
    // A linear check takes a few milliseconds unoptimised; the rest allows for a busy machine.
    assert!(start.elapsed().as_millis() < 500, "{:?}", start.elapsed());
}

/// Guards against reference documentation that the parser no longer accepts: the examples of
/// docs/configuration.md together form a valid set.
#[test]
fn documented_examples_pass() {
    let text = include_str!("../../../docs/configuration.md");
    let mut set = serde_json::Map::new();
    let mut blocks = text
        .split("```json\n")
        .skip(1)
        .map(|rest| rest.split_once("```").expect("the block ends").0);
    for section in ["domains", "workers", "teams", "keys", "shares", "limits", "queues", "classes"]
    {
        let block = blocks.next().expect("each kind has an example");
        let object: serde_json::Value = serde_json::from_str(block).expect("the example is JSON");
        set.insert(section.to_owned(), serde_json::json!([object]));
    }
    let set = serde_json::Value::Object(set).to_string();
    let set = ObjectSet::parse(&set).map_err(|problems| lines(&problems));
    assert_eq!(lines(&check_set(&set.expect("the examples parse"))), "");
    let settings = blocks.next().expect("the settings have an example");
    model::setting::EntrySettings::parse(settings).expect("the settings pass");
}
