//! Checks the example settings and resources of the two deployments.

use std::collections::BTreeSet;

use lacewingspring::settings::Settings;
use lacewingspring_core::{
    catalog::digest_hex,
    config::{Change, DeclaredState, Transaction},
    names::DataCentreName,
    resources::{EnginePoolSpec, PoolKind, Resource, ServiceProtocol, ServiceSpec, Spec},
};
use serde::Deserialize;
use serde_json::{Value, json};

use self::docs_common::read;

mod docs_common;

/// Expected size of an example deployment.
struct Deployment {
    folder: &'static str,
    data_centres: usize,
    engines: usize,
    plain_upstreams: usize,
    workspaces: usize,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        folder: "magnolia",
        data_centres: 4,
        engines: 10,
        plain_upstreams: 4,
        workspaces: 5,
    },
    Deployment {
        folder: "registrul",
        data_centres: 3,
        engines: 10,
        plain_upstreams: 3,
        workspaces: 5,
    },
];

/// One entry of the example's instance list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListedInstance {
    instance: String,
    data_centre: String,
    callers: String,
    peers: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Resources {
    resources: Vec<Resource>,
}

fn instances(folder: &str) -> Vec<ListedInstance> {
    serde_json::from_str(&read(&format!("examples/{folder}/instances.json"))).unwrap()
}

fn resources(folder: &str) -> Vec<Resource> {
    let text = read(&format!("examples/{folder}/resources.json"));
    serde_json::from_str::<Resources>(&text).unwrap().resources
}

/// Returns the settings of one instance: the template with the names and addresses of its entry.
fn settings(folder: &str, listed: &ListedInstance) -> Settings {
    let text = read(&format!("examples/{folder}/settings.json"));
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    settings["instance"] = json!(listed.instance);
    settings["data_centre"] = json!(listed.data_centre);
    settings["listen"] = json!({ "callers": listed.callers, "peers": listed.peers });
    Settings::parse(&settings.to_string()).unwrap_or_else(|e| panic!("{}: {e}", listed.instance))
}

fn pools(folder: &str) -> Vec<EnginePoolSpec> {
    let pools = resources(folder).into_iter().filter_map(|resource| match resource.spec {
        Spec::EnginePool(spec) => Some(spec),
        _ => None,
    });
    pools.collect()
}

fn services(folder: &str) -> Vec<(String, ServiceSpec)> {
    let services = resources(folder).into_iter().filter_map(|resource| match resource.spec {
        Spec::Service(spec) => Some((resource.name, spec)),
        _ => None,
    });
    services.collect()
}

/// Returns the rank of the tier to which a service belongs.
fn rank(folder: &str, service: &str) -> u8 {
    let services = services(folder);
    let (_, service) = services.iter().find(|(name, _)| name == service).unwrap();
    let rank = resources(folder).into_iter().find_map(|resource| match resource.spec {
        Spec::Tier(spec) if resource.name == service.tier.as_str() => Some(spec.rank),
        _ => None,
    });
    rank.unwrap()
}

#[test]
fn settings_are_accepted() {
    for Deployment { folder, data_centres, .. } in DEPLOYMENTS {
        let text = read(&format!("examples/{folder}/settings.json"));
        let template = Settings::parse(&text).unwrap_or_else(|e| panic!("{folder}: {e}"));
        let listed = instances(folder);
        assert!((7..=9).contains(&listed.len()), "{folder}");
        assert_eq!(template.instance.as_str(), listed[0].instance);
        let all: Vec<_> = listed.iter().map(|listed| settings(folder, listed)).collect();
        let names: BTreeSet<_> = all.iter().map(|it| it.instance.as_str()).collect();
        let addresses = all.iter().flat_map(|it| [it.listen.callers, it.listen.peers]);
        let addresses: BTreeSet<_> = addresses.collect();
        let data_centre_names: BTreeSet<_> = all.iter().map(|it| it.data_centre.as_str()).collect();
        assert_eq!((names.len(), addresses.len()), (all.len(), all.len() * 2), "{folder}");
        assert_eq!(data_centre_names.len(), data_centres, "{folder}");
    }
}

#[test]
fn resources_form_one_valid_transaction_on_an_empty_state() {
    for Deployment { folder, workspaces, .. } in DEPLOYMENTS {
        let resources = resources(folder);
        let found = resources.iter().filter(|it| matches!(it.spec, Spec::Workspace(_))).count();
        assert_eq!(found, workspaces, "{folder}");
        let changes = resources.iter().cloned().map(Change::Put).collect();
        let transaction = Transaction { changes, expect_generation: Some(0) };
        let declared = DeclaredState::default().apply(&transaction);
        let declared = declared.unwrap_or_else(|violations| panic!("{folder}: {violations:#?}"));
        assert_eq!((declared.generation, declared.resources.len()), (1, resources.len()));
    }
}

#[test]
fn upstream_counts_match_the_deployment() {
    for Deployment { folder, engines, plain_upstreams, .. } in DEPLOYMENTS {
        let count = |kind| -> usize {
            let pools = pools(folder).into_iter().filter(|pool| pool.kind == kind);
            pools.map(|pool| pool.upstreams.len()).sum()
        };
        assert_eq!(
            (count(PoolKind::Engine), count(PoolKind::Plain)),
            (engines, plain_upstreams),
            "{folder}"
        );
        let upstreams: Vec<_> = pools(folder).into_iter().flat_map(|it| it.upstreams).collect();
        let known: BTreeSet<_> = instances(folder).into_iter().map(|it| it.data_centre).collect();
        let is_known = |name: &DataCentreName| known.contains(name.as_str());
        assert!(upstreams.iter().all(|it| is_known(&it.data_centre)), "{folder}");
        let speeds: BTreeSet<_> = upstreams.iter().map(|it| it.decode_ms.to_string()).collect();
        // This counts the default speed of plain upstreams, which is not used.
        assert_eq!(speeds.len(), 3, "{folder}");
    }
}

#[test]
fn interactive_services_rank_above_long_running_services() {
    assert_eq!(rank("magnolia", "question"), 0);
    assert!(rank("magnolia", "seat") < rank("magnolia", "grade"));
    assert!(rank("magnolia", "grade") < rank("magnolia", "plan_review"));
    assert_eq!(rank("registrul", "party"), 0);
    assert!(rank("registrul", "certificate") < rank("registrul", "dossier"));
}

#[test]
fn non_idempotent_services_declare_their_act_fields() {
    for Deployment { folder, .. } in DEPLOYMENTS {
        let services = services(folder);
        let non_idempotent: Vec<_> = services.iter().filter(|(_, spec)| !spec.idempotent).collect();
        let names: Vec<_> = non_idempotent.iter().map(|(name, _)| name.as_str()).collect();
        let expected = if folder == "magnolia" { ["seat"] } else { ["certificate"] };
        assert_eq!(names, expected);
        for (name, spec) in non_idempotent {
            assert!(!spec.act_fields.is_empty(), "{name}");
            assert_eq!(spec.protocol, ServiceProtocol::Plain, "{name}");
        }
    }
}

#[test]
fn credentials_are_the_documented_placeholders() {
    for Deployment { folder, .. } in DEPLOYMENTS {
        for resource in resources(folder) {
            let credentials = match &resource.spec {
                Spec::Workspace(spec) => &spec.credentials,
                Spec::Operator(spec) => &spec.credentials,
                _ => continue,
            };
            let example = digest_hex(format!("example-{}", resource.name).as_bytes());
            assert_eq!(*credentials, [example], "{}", resource.name);
        }
        let template = settings(folder, &instances(folder)[0]);
        let example = digest_hex(format!("example-{folder}-root").as_bytes());
        assert_eq!(template.operators[0].credential, example);
    }
}
