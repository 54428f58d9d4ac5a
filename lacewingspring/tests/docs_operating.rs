//! Compares the documented reference of settings and resources with the code.

use std::collections::BTreeSet;

use lacewingspring::settings::Settings;
use lacewingspring_core::{
    config::{DeclaredState, Transaction},
    resources::{ResourceKind, Spec},
};
use serde_json::{Value, json};

use self::docs_common::{expected_names, quoted, range_bounds, read, rows, section};

mod docs_common;

/// A name that no key, field or variant has.
const UNKNOWN: &str = "zz";

/// Sections of the settings file; the empty name is the root.
const SECTIONS: [&str; 11] = [
    "",
    "listen",
    "key_value",
    "instance_list",
    "authority",
    "operators",
    "log",
    "metrics",
    "timing",
    "test",
    "pool_control",
];

/// One row of a reference table.
#[derive(Clone, Debug)]
struct Entry {
    key: String,
    default: String,
    range: String,
}

impl Entry {
    fn is_required(&self) -> bool {
        self.default == "required"
    }

    fn default(&self) -> Value {
        let text = quoted(&self.default).concat();
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}", self.key))
    }
}

/// Parses the rows of a reference table whose column `range_column` holds the range.
fn entries(rows: &[Vec<&str>], range_column: usize) -> Vec<Entry> {
    let entry = |row: &Vec<&str>| Entry {
        key: quoted(row[0]).concat(),
        default: row[2].to_owned(),
        range: row[range_column].to_owned(),
    };
    rows.iter().map(entry).collect()
}

/// Returns the value at a dotted path, creating objects where absent. In a list, the path goes
/// through the first item.
fn value_at<'a>(root: &'a mut Value, path: &str) -> &'a mut Value {
    let parts = path.split('.').filter(|part| !part.is_empty());
    parts.fold(root, |value, part| {
        let value = if value.is_array() { &mut value[0] } else { value };
        if value.is_null() {
            *value = json!({});
        }
        &mut value[part]
    })
}

/// Returns the object at a dotted path, or the first item if there is a list.
fn object_at<'a>(root: &'a mut Value, path: &str) -> &'a mut Value {
    let value = value_at(root, path);
    let value = if value.is_array() { &mut value[0] } else { value };
    if value.is_null() {
        *value = json!({});
    }
    value
}

fn remove(root: &mut Value, path: &str) {
    let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
    object_at(root, parent).as_object_mut().unwrap().remove(name);
}

fn settings() -> Vec<Entry> {
    let operating = read("docs/OPERATING.md");
    entries(&rows(section(&operating, "## Settings")), 4)
}

fn minimal_settings() -> Value {
    json!({
        "instance": "a", "data_centre": "b",
        "listen": { "callers": "127.0.0.1:7400", "peers": "127.0.0.1:7500" },
        "key_value": { "endpoints": ["127.0.0.1:2379"] },
        "instance_list": { "endpoint": "127.0.0.1:8500" },
        "authority": { "certificate": "c", "key": "k" },
        "operators": [{ "name": "root", "credential": "ab".repeat(32), "role": "change" }]
    })
}

fn parse(settings: &Value) -> Result<Settings, String> {
    Settings::parse(&settings.to_string()).map_err(|e| e.to_string())
}

#[test]
fn documented_settings_match_the_code() {
    let mut known = BTreeSet::new();
    for section in SECTIONS {
        let mut settings = minimal_settings();
        object_at(&mut settings, section)[UNKNOWN] = json!(1);
        let error = parse(&settings).expect_err(section);
        for name in expected_names(&error) {
            known.insert(if section.is_empty() { name } else { format!("{section}.{name}") });
        }
    }
    let is_leaf = |key: &String| key == "operators" || !SECTIONS.contains(&key.as_str());
    known.retain(is_leaf);
    let documented: BTreeSet<_> = settings().into_iter().map(|entry| entry.key).collect();
    assert_eq!(documented, known);
}

#[test]
fn documented_setting_defaults_match_the_code() {
    let mut settings_with_defaults = minimal_settings();
    for entry in settings().iter().filter(|entry| !entry.is_required()) {
        if entry.key != "operators" {
            *value_at(&mut settings_with_defaults, &entry.key) = entry.default();
        }
    }
    let documented = parse(&settings_with_defaults).unwrap();
    assert_eq!(format!("{documented:?}"), format!("{:?}", parse(&minimal_settings()).unwrap()));
    let mut without_operators = minimal_settings();
    remove(&mut without_operators, "operators");
    assert!(parse(&without_operators).unwrap().operators.is_empty());
}

#[test]
fn documented_required_settings_are_required() {
    for entry in settings().iter().filter(|entry| entry.is_required()) {
        let mut settings = minimal_settings();
        remove(&mut settings, &entry.key);
        let error = parse(&settings).expect_err(&entry.key);
        assert!(error.contains("missing field"), "{}: {error}", entry.key);
    }
}

#[test]
fn documented_setting_ranges_match_the_code() {
    let mut checked = 0;
    for entry in settings() {
        let Some((low, high)) = range_bounds(&entry.range).filter(|_| !entry.is_required()) else {
            continue;
        };
        for (value, accepted) in [(low - 1, false), (low, true), (high, true), (high + 1, false)] {
            let mut settings = minimal_settings();
            *value_at(&mut settings, &entry.key) = json!(value);
            assert_eq!(parse(&settings).is_ok(), accepted, "{}: {value}", entry.key);
        }
        checked += 1;
    }
    assert_eq!(checked, 9, "number of settings with a range");
}

#[test]
fn documented_setting_variants_match_the_code() {
    for key in ["log.level", "log.format", "operators.role"] {
        let mut settings = minimal_settings();
        *value_at(&mut settings, key) = json!(UNKNOWN);
        let entry = self::settings().into_iter().find(|entry| entry.key == key).unwrap();
        assert_eq!(
            quoted(&entry.range),
            expected_names(&parse(&settings).expect_err(key)),
            "{key}"
        );
    }
}

fn fields(kind: ResourceKind) -> Vec<Entry> {
    let operating = read("docs/OPERATING.md");
    entries(&rows(section(&operating, &format!("### {}", kind.as_str()))), 3)
}

/// Returns a valid spec with the required fields only.
fn minimal_spec(kind: ResourceKind) -> Value {
    let upstream = json!({ "name": "e", "address": "127.0.0.1:9000", "data_centre": "a" });
    match kind {
        ResourceKind::Tier => json!({ "rank": 0 }),
        ResourceKind::EnginePool => json!({ "type": "engine", "upstreams": [upstream] }),
        ResourceKind::Service => json!({
            "protocol": "completions", "pool": "engine_pool", "tier": "tier", "idempotent": false
        }),
        ResourceKind::Workspace => json!({ "credentials": ["cd".repeat(32)] }),
        ResourceKind::Operator => json!({ "credentials": ["ef".repeat(32)], "role": "read" }),
    }
}

fn parse_spec(kind: ResourceKind, spec: &Value) -> Result<Spec, String> {
    let spec = json!({ "kind": kind.as_str(), "spec": spec });
    serde_json::from_value(spec).map_err(|e| e.to_string())
}

/// Returns whether a transaction is accepted that puts one resource of each kind, all with minimal
/// specs but for `changed`, which has `spec`.
fn accepts(changed: ResourceKind, spec: &Value) -> bool {
    let put = |kind: ResourceKind| {
        let spec = if kind == changed { spec.clone() } else { minimal_spec(kind) };
        json!({ "put": { "kind": kind.as_str(), "name": kind.as_str(), "spec": spec } })
    };
    let transaction = json!({ "changes": ResourceKind::ALL.map(put) });
    let transaction: Result<Transaction, _> = serde_json::from_value(transaction);
    transaction.is_ok_and(|transaction| DeclaredState::default().apply(&transaction).is_ok())
}

#[test]
fn documented_fields_match_the_code() {
    let nested = [(ResourceKind::EnginePool, "upstreams"), (ResourceKind::Workspace, "limits")];
    for kind in ResourceKind::ALL {
        let mut known = BTreeSet::new();
        let nested = nested.iter().filter(|(of, _)| *of == kind).map(|(_, path)| *path);
        for path in nested.clone().chain([""]) {
            let mut value = minimal_spec(kind);
            object_at(&mut value, path)[UNKNOWN] = json!(1);
            let names = expected_names(&parse_spec(kind, &value).expect_err(path)).into_iter();
            let full_name = |name| if path.is_empty() { name } else { format!("{path}.{name}") };
            known.extend(names.map(full_name));
        }
        // The page documents the fields of `limits`, but not `limits` itself.
        known.remove("limits");
        let documented: BTreeSet<_> = fields(kind).into_iter().map(|entry| entry.key).collect();
        assert_eq!(documented, known);
    }
}

#[test]
fn documented_field_defaults_match_the_code() {
    for kind in ResourceKind::ALL {
        let mut value = minimal_spec(kind);
        for entry in fields(kind) {
            if entry.is_required() {
                let mut without = minimal_spec(kind);
                remove(&mut without, &entry.key);
                let error = parse_spec(kind, &without).expect_err(&entry.key);
                assert!(error.contains("missing field"), "{}: {error}", entry.key);
            } else {
                *value_at(&mut value, &entry.key) = entry.default();
            }
        }
        assert_eq!(parse_spec(kind, &value), parse_spec(kind, &minimal_spec(kind)));
    }
}

#[test]
fn documented_field_ranges_match_the_code() {
    let mut checked = 0;
    for kind in ResourceKind::ALL {
        assert!(accepts(kind, &minimal_spec(kind)));
        for entry in fields(kind) {
            let Some((low, high)) = range_bounds(&entry.range) else { continue };
            let below = low as i64 - 1;
            for (value, accepted) in [
                (json!(below), false),
                (json!(low), true),
                (json!(high), true),
                (json!(high + 1), false),
            ] {
                let mut spec = minimal_spec(kind);
                *value_at(&mut spec, &entry.key) = value.clone();
                assert_eq!(accepts(kind, &spec), accepted, "{kind:?} {}: {value}", entry.key);
            }
            checked += 1;
        }
    }
    assert_eq!(checked, 9, "number of fields with a range");
}
