//! Parsing and range checks of the settings of an entry.

use serde_json::{Map, Value};

use super::{EntrySettings, PeerAddress};
use crate::check::CheckProblem;
use crate::check::name::{NAME_RULE, is_valid_name};
use crate::check::problem::ProblemList;
use crate::check::range::{ADDRESS_RULE, check_range, is_digest, parse_address};
use crate::vm::VmLimits;

/// Label of the settings file in the problems that are reported.
const LABEL: &str = "settings";

/// Smallest memory in MB: the budget for bodies holds one of 16 MB then, beside the part for small
/// bodies.
const MIN_MEMORY_MB: u64 = 128;

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl EntrySettings {
    /// Parses settings from JSON and checks the range of every field.
    ///
    /// # Errors
    ///
    /// Returns every problem found: unknown and missing fields, values of the
    /// wrong type, and values out of range.
    pub fn parse(text: &str) -> Result<Self, Vec<CheckProblem>> {
        let mut problems = ProblemList::default();
        let fields: Map<String, Value> = match serde_json::from_str(text) {
            Ok(fields) => fields,
            Err(error) => {
                problems.add(LABEL, "JSON", format_args!("{error}; one JSON object is accepted"));
                return Err(problems.into_inner());
            }
        };
        let template = template_fields();
        check_unknown_fields(&template, &fields, &mut problems);
        let settings = parse_fields(&template, &fields, &mut problems);
        check_settings(&settings, &mut problems);
        if !problems.is_empty() {
            return Err(problems.into_inner());
        }
        // A map keeps the last of two equal fields; the derived parser refuses them.
        serde_json::from_str(text).map_err(|error| {
            problems.add(LABEL, "JSON", error);
            problems.into_inner()
        })
    }
}

/// Returns settings that pass every check; their values replace fields that do not parse.
fn template_settings() -> EntrySettings {
    EntrySettings {
        name: "entry".to_owned(),
        domain: "domain".into(),
        http_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        peer_advertise: None,
        outgoing_ip: None,
        operator_digest: None,
        peers: Vec::new(),
        platform_address: "127.0.0.1:3".to_owned(),
        threads: super::default_threads(),
        log_level: super::default_level(),
        config_contact_bound_s: super::default_contact_bound(),
        drain_s: super::default_drain(),
        balancer_delay_ms: super::default_balancer(),
        memory_mb: super::default_memory_mb(),
        max_fds: super::default_max_fds(),
        seed: None,
    }
}

/// Returns the template as JSON; its field names are all known settings.
fn template_fields() -> Map<String, Value> {
    match serde_json::to_value(template_settings()) {
        Ok(Value::Object(fields)) => fields,
        _ => Map::new(),
    }
}

/// Reports unknown fields; the first problem lists the known ones.
fn check_unknown_fields(
    template: &Map<String, Value>,
    fields: &Map<String, Value>,
    problems: &mut ProblemList,
) {
    let known: Vec<&str> = template.keys().map(String::as_str).collect();
    let mut accepted = known.join(", ");
    for field in fields.keys().filter(|field| !template.contains_key(*field)) {
        problems.add(LABEL, field, format_args!("is not a setting; accepted are {accepted}"));
        "those listed above".clone_into(&mut accepted);
    }
}

/// Parses the fields one by one inside the template, so that each error is reported.
fn parse_fields(
    template: &Map<String, Value>,
    fields: &Map<String, Value>,
    problems: &mut ProblemList,
) -> EntrySettings {
    let mut settings = template_settings();
    let mut accepted = template.clone();
    for field in template.keys() {
        let mut candidate = accepted.clone();
        match fields.get(field) {
            Some(value) => candidate.insert(field.clone(), value.clone()),
            None => candidate.remove(field),
        };
        match serde_json::from_value(Value::Object(candidate.clone())) {
            Ok(parsed) => {
                settings = parsed;
                accepted = candidate;
            }
            Err(error) if fields.contains_key(field) => problems.add(LABEL, field, error),
            Err(_) => problems.add(LABEL, field, "is missing; it has no default"),
        }
    }
    settings
}

fn check_settings(settings: &EntrySettings, problems: &mut ProblemList) {
    check_name("name", &settings.name, problems);
    check_name("domain", settings.domain.as_str(), problems);
    check_addresses(settings, problems);
    for (index, peer) in settings.peers.iter().enumerate() {
        check_peer(index, peer, problems);
    }
    check_range(LABEL, "threads", &settings.threads, &(1..=64), problems);
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        let message = format!(
            "`{}` is not a level; accepted are {}",
            settings.log_level,
            LOG_LEVELS.join(", ")
        );
        problems.add(LABEL, "log_level", message);
    }
    if settings.operator_digest.as_ref().is_some_and(|digest| !is_digest(digest)) {
        let message = "is not a SHA-256 digest; accepted are 64 hexadecimal digits in lower case";
        problems.add(LABEL, "operator_digest", message);
    }
    let bound = settings.config_contact_bound_s;
    check_range(LABEL, "config_contact_bound_s", &bound, &(5..=3600), problems);
    check_range(LABEL, "drain_s", &settings.drain_s, &(1..=600), problems);
    let memory = MIN_MEMORY_MB..=VmLimits::MAX_MEMORY_MB;
    check_range(LABEL, "memory_mb", &settings.memory_mb, &memory, problems);
    check_range(LABEL, "max_fds", &settings.max_fds, &VmLimits::MAX_FDS, problems);
    let delay = settings.balancer_delay_ms;
    check_range(LABEL, "balancer_delay_ms", &delay, &(0..=60_000), problems);
}

fn check_addresses(settings: &EntrySettings, problems: &mut ProblemList) {
    check_address("http_address", &settings.http_address, problems);
    check_address("peer_address", &settings.peer_address, problems);
    check_address("platform_address", &settings.platform_address, problems);
    match &settings.peer_advertise {
        Some(address) => check_address("peer_advertise", address, problems),
        None if parse_address(&settings.peer_address)
            .is_some_and(|address| address.ip().is_unspecified()) =>
        {
            let message = "is missing, but `peer_address` listens on every interface; accepted \
                           is the IP:PORT under which other entries reach this one";
            problems.add(LABEL, "peer_advertise", message);
        }
        None => {}
    }
}

fn check_peer(index: usize, peer: &PeerAddress, problems: &mut ProblemList) {
    check_name(&format!("peers[{index}].domain"), peer.domain.as_str(), problems);
    check_address(&format!("peers[{index}].address"), &peer.address, problems);
}

fn check_name(field: &str, name: &str, problems: &mut ProblemList) {
    if !is_valid_name(name) {
        problems.add(LABEL, field, format_args!("`{name}` is not a name; {NAME_RULE}"));
    }
}

fn check_address(field: &str, address: &str, problems: &mut ProblemList) {
    if parse_address(address).is_none() {
        problems.add(LABEL, field, format_args!("`{address}` is not an address; {ADDRESS_RULE}"));
    }
}
