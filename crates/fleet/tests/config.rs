//! Tests of the configuration that an entry follows in the operators' table.

use fleet::config::{ConfigView, FleetConfig, OperatorRow, QueueRoute};

fn config_row(version: u64) -> OperatorRow {
    OperatorRow::Config(Box::new(FleetConfig { version, ..FleetConfig::default() }))
}

fn domain_row(name: &str, out: bool) -> OperatorRow {
    OperatorRow::DomainOut { domain: name.into(), out }
}

/// Guards against an older configuration that replaces a newer one, when the rows of two
/// versions arrive in the wrong order.
#[test]
fn a_lower_version_is_ignored() {
    let mut view = ConfigView::default();
    view.apply_row(config_row(5));
    let generation = view.generation;
    view.apply_row(config_row(4));
    assert_eq!(view.config.as_ref().map(|config| config.version), Some(5));
    assert_eq!(view.generation, generation, "nothing has changed");
}

/// Guards against a domain that stays out of service: its row was removed while changes could
/// not be followed, and the complete read that comes after does not contain it.
#[test]
fn complete_read_returns_missing_domains_to_service() {
    let mut view = ConfigView::default();
    view.apply_row(config_row(5));
    view.apply_row(domain_row("north", true));
    view.replace_rows(vec![config_row(5), domain_row("south", true)]);
    assert!(!view.domains_out.contains("north") && view.domains_out.contains("south"));
}

/// Guards against a request that is routed by a shorter prefix although a longer one matches.
#[test]
fn longest_prefix_wins() {
    let route = |prefix: &str, queue: &str| QueueRoute {
        host: "h".into(),
        prefix: prefix.into(),
        queue: queue.into(),
        public: false,
    };
    let config = FleetConfig {
        routes: vec![route("/a/", "short"), route("/a/b/", "long")],
        ..FleetConfig::default()
    };
    let found = |path| config.route("h", path).map(|(route, rest)| (route.queue.clone(), rest));
    assert_eq!(found("/a/b/1"), Some(("long".into(), "1")));
    assert_eq!(found("/a/c"), Some(("short".into(), "c")));
    assert_eq!(found("/x"), None);
    assert!(config.route("other", "/a/1").is_none());
}

/// Guards against workers of other fleets that count as workers of this one, and against workers
/// that are given up before the first configuration has been read.
#[test]
fn only_configured_pools_belong_to_the_fleet() {
    let mut view = ConfigView::default();
    assert!(view.has_pool("any"), "the pools are not known yet");
    let pools = ["pool".into()].into();
    view.apply_row(OperatorRow::Config(Box::new(FleetConfig { pools, ..FleetConfig::default() })));
    assert!(view.has_pool("pool"));
    assert!(!view.has_pool("any"));
}
