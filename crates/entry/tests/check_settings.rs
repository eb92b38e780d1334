//! Tests of the daemon's command line: settings are checked without starting
//! anything, and each message names the file, the field and the accepted values.

use std::fmt::Write;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;

use serde_json::{Value, json};

fn run_entry(directory: &Path, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_amaranthsaddle-entry"))
        .args(arguments)
        .current_dir(directory)
        .output()
        .expect("the program starts");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().expect("the program ends by itself");
    format!("exit {code}\n--- stdout\n{stdout}--- stderr\n{stderr}")
}

fn valid_settings() -> Value {
    json!({
        "name": "entry-1", "domain": "north",
        "http_address": "127.0.0.1:8000", "peer_address": "127.0.0.1:8001",
        "platform_address": "127.0.0.1:7000",
    })
}

/// Returns valid settings with some fields replaced; `null` removes one.
fn settings_with(changes: &Value) -> String {
    let mut settings = valid_settings();
    for (field, value) in changes.as_object().expect("fields") {
        if value.is_null() {
            settings.as_object_mut().expect("an object").remove(field);
        } else {
            settings[field] = value.clone();
        }
    }
    settings.to_string()
}

/// Guards against messages for wrong flags that do not name the flag.
#[test]
fn wrong_flags_are_named() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut texts = String::new();
    for arguments in [
        &["--help"][..],
        &["--version"],
        &[],
        &["--check-settings"],
        &["--setings", "settings.json"],
        &["--settings"],
        &["settings.json"],
        &["--settings", "none.json", "--check-settings"],
        &["--settings", "none.json"],
    ] {
        let _ = writeln!(texts, "$ amaranthsaddle-entry {}", arguments.join(" "));
        let _ = writeln!(texts, "{}", run_entry(directory.path(), arguments));
    }
    insta::assert_snapshot!(texts);
}

/// Guards against a check that stops at the first problem of a settings file, or that runs
/// only after something was started.
#[test]
fn wrong_settings_are_listed() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("settings.json");
    let mut texts = String::new();
    for (title, text) in [
        ("good", valid_settings().to_string()),
        ("empty", String::new()),
        ("no object", "[]".to_owned()),
        ("cut off", r#"{"name": "entry-1""#.to_owned()),
        ("nothing given", "{}".to_owned()),
        ("a field twice", format!(r#"{{"name": "other", {}"#, &valid_settings().to_string()[1..])),
        ("unknown fields", settings_with(&json!({ "treads": 4, "color": "red" }))),
        (
            "wrong types",
            settings_with(&json!({ "name": 7, "threads": "two", "peers": {}, "seed": -1 })),
        ),
        ("names", settings_with(&json!({ "name": "Entry 1", "domain": "" }))),
        (
            "addresses",
            settings_with(&json!({
                "http_address": "localhost:8000", "peer_address": "127.0.0.1",
                "platform_address": "127.0.0.1:0", "outgoing_ip": "here",
            })),
        ),
        ("wildcard for peers", settings_with(&json!({ "peer_address": "0.0.0.0:8001" }))),
        (
            "peers",
            settings_with(&json!({ "peers": [
                { "domain": "north", "address": "127.0.0.2" },
                { "domain": "North", "address": "127.0.0.3:8001" },
            ] })),
        ),
        (
            "ranges",
            settings_with(&json!({
                "threads": 0, "config_contact_bound_s": 4, "drain_s": 601,
                "balancer_delay_ms": 60_001, "log_level": "loud",
            })),
        ),
        ("no platform", settings_with(&json!({ "platform_address": null }))),
    ] {
        std::fs::write(&file, text).expect("the directory is writable");
        let arguments = ["--settings", "settings.json", "--check-settings"];
        let _ = writeln!(texts, "# {title}\n{}", run_entry(directory.path(), &arguments));
    }
    insta::assert_snapshot!(texts);
}

/// Guards against a check that listens on the addresses, which a running daemon holds.
#[test]
fn check_opens_no_address() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = taken.local_addr().expect("it has an address").to_string();
    let text = settings_with(&json!({ "http_address": address }));
    std::fs::write(directory.path().join("settings.json"), text).expect("writable");
    let arguments = ["--settings", "settings.json", "--check-settings"];
    let checked = run_entry(directory.path(), &arguments);
    assert!(checked.starts_with("exit 0\n"), "{checked}");
}

/// Guards against a daemon that cannot listen but goes on, or does not name the setting.
#[test]
fn address_in_use_is_named() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    for field in ["http_address", "peer_address"] {
        let taken = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = taken.local_addr().expect("it has an address").to_string();
        let mut changes = json!({});
        // Both addresses get free ports; then the one under test is replaced by the taken one.
        for other in ["http_address", "peer_address"] {
            let free = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
            changes[other] = json!(free.local_addr().expect("it has an address").to_string());
        }
        changes[field] = json!(address);
        std::fs::write(directory.path().join("settings.json"), settings_with(&changes))
            .expect("writable");
        let started = run_entry(directory.path(), &["--settings", "settings.json"]);
        assert!(started.starts_with("exit 2\n"), "{started}");
        assert!(started.contains(&format!("{field} {address}")), "{started}");
    }
}
