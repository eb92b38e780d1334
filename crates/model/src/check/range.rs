//! Rules about the values of single fields.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::problem::{ObjectLabel, ProblemList};
use crate::object::{ClassKind, ObjectSet};

/// Digits of a SHA-256 digest in hexadecimal.
const DIGEST_DIGITS: usize = 64;

/// Accepted form of an address, for messages.
pub(crate) const ADDRESS_RULE: &str =
    "accepted is IP:PORT, such as `127.0.0.1:7001` or `[::1]:7001`, with a port from 1 to 65535";

/// Parses an address that others connect to; port 0 is refused, as nothing can connect to it.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
}

/// Reports a value outside its range.
pub(crate) fn check_range<T: PartialOrd + fmt::Display>(
    object: impl fmt::Display,
    field: &str,
    value: &T,
    range: &RangeInclusive<T>,
    problems: &mut ProblemList,
) {
    if !range.contains(value) {
        let message =
            format!("{value} is out of range; accepted is {} to {}", range.start(), range.end());
        problems.add(object, field, message);
    }
}

/// Checks all fields that accept only a range of values or a certain form.
pub(super) fn check_ranges(set: &ObjectSet, problems: &mut ProblemList) {
    check_workers(set, problems);
    check_keys(set, problems);
    for share in &set.shares {
        let label = ObjectLabel("share", share.name.as_str());
        check_range(label, "weight", &share.weight, &(1..=10_000), problems);
    }
    for queue in &set.queues {
        let label = ObjectLabel("queue", queue.name.as_str());
        check_range(label, "bound", &queue.bound, &(1..=100_000), problems);
    }
    for class in &set.classes {
        if class.kind == ClassKind::Request && class.amounts.slots != 0 {
            let message = format!(
                "{} is not accepted for a request class; use 0, since the slot of each request \
                 is counted anyway",
                class.amounts.slots
            );
            problems.add(ObjectLabel("class", class.name.as_str()), "amounts.slots", message);
        }
    }
}

fn check_workers(set: &ObjectSet, problems: &mut ProblemList) {
    let mut addresses = HashMap::with_capacity(set.workers.len());
    for worker in &set.workers {
        let name = worker.name.as_str();
        let label = ObjectLabel("worker", name);
        match parse_address(&worker.address).filter(|address| !address.ip().is_unspecified()) {
            None => {
                let message =
                    format!("`{}` is not a worker address; {ADDRESS_RULE}", worker.address);
                problems.add(label, "address", message);
            }
            Some(address) => match addresses.get(&address) {
                Some(first) => {
                    let message = format!(
                        "`{address}` is the address of worker `{first}` too; each worker needs \
                         an address of its own"
                    );
                    problems.add(label, "address", message);
                }
                None => {
                    addresses.insert(address, name);
                }
            },
        }
        check_range(label, "connections", &worker.connections, &(1..=1024), problems);
        if worker.capacity.is_zero() {
            let message = "every amount is 0; at least one of `cpu_millis`, `memory_mb`, \
                           `accelerators` and `slots` must be above 0";
            problems.add(label, "capacity", message);
        }
    }
}

/// Returns whether a text is a SHA-256 digest in lower-case hexadecimal digits.
pub(crate) fn is_digest(text: &str) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == DIGEST_DIGITS && text.bytes().all(is_digit)
}

/// Checks the digests of keys.
///
/// Messages leave the digest out, so that logs cannot be used for a dictionary
/// attack on the secrets.
fn check_keys(set: &ObjectSet, problems: &mut ProblemList) {
    let mut digests = HashMap::with_capacity(set.keys.len());
    for key in &set.keys {
        let name = key.name.as_str();
        let label = ObjectLabel("key", name);
        if !is_digest(&key.digest) {
            let message = "is not a SHA-256 digest; accepted are 64 hexadecimal digits in lower \
                           case, as `saddle key grant` stores them";
            problems.add(label, "digest", message);
        } else if let Some(first) = digests.get(key.digest.as_str()) {
            let message = format!(
                "is the digest of key `{first}` too; each key needs a secret of its own, so that \
                 it tells the team"
            );
            problems.add(label, "digest", message);
        } else {
            digests.insert(key.digest.as_str(), name);
        }
    }
}
