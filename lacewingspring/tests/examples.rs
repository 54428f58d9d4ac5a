//! Ready settings and resources of the two deployments.

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

/// What the users say of a deployment.
struct Size {
    folder: &'static str,
    data_centres: usize,
    engines: usize,
    plain: usize,
    workspaces: usize,
}

const SIZES: [Size; 2] = [
    Size { folder: "magnolia", data_centres: 4, engines: 10, plain: 4, workspaces: 5 },
    Size { folder: "registrul", data_centres: 3, engines: 10, plain: 3, workspaces: 5 },
];

/// One line of the list of instances.
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

/// Returns the settings of one instance, made from the template.
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

/// Returns the rank of the tier of a service.
fn rank(folder: &str, service: &str) -> u8 {
    let services = services(folder);
    let (_, service) = services.iter().find(|(name, _)| name == service).unwrap();
    let ranks = resources(folder).into_iter().find_map(|resource| match resource.spec {
        Spec::Tier(spec) if resource.name == service.tier.as_str() => Some(spec.rank),
        _ => None,
    });
    ranks.unwrap()
}

#[test]
fn settings_are_accepted() {
    for Size { folder, data_centres, .. } in SIZES {
        let text = read(&format!("examples/{folder}/settings.json"));
        let template = Settings::parse(&text).unwrap_or_else(|e| panic!("{folder}: {e}"));
        let listed = instances(folder);
        assert!((7..=9).contains(&listed.len()), "{folder}");
        assert_eq!(template.instance.as_str(), listed[0].instance);
        let all: Vec<_> = listed.iter().map(|listed| settings(folder, listed)).collect();
        let names: BTreeSet<_> = all.iter().map(|it| it.instance.as_str()).collect();
        let addresses = all.iter().flat_map(|it| [it.listen.callers, it.listen.peers]);
        let addresses: BTreeSet<_> = addresses.collect();
        let centres: BTreeSet<_> = all.iter().map(|it| it.data_centre.as_str()).collect();
        assert_eq!((names.len(), addresses.len()), (all.len(), all.len() * 2), "{folder}");
        assert_eq!(centres.len(), data_centres, "{folder}");
    }
}

#[test]
fn resources_are_one_sound_transaction_on_an_empty_state() {
    for Size { folder, workspaces, .. } in SIZES {
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
fn upstreams_are_those_of_the_users() {
    for Size { folder, engines, plain, .. } in SIZES {
        let count = |kind| -> usize {
            let pools = pools(folder).into_iter().filter(|pool| pool.kind == kind);
            pools.map(|pool| pool.upstreams.len()).sum()
        };
        assert_eq!((count(PoolKind::Engine), count(PoolKind::Plain)), (engines, plain), "{folder}");
        let upstreams: Vec<_> = pools(folder).into_iter().flat_map(|it| it.upstreams).collect();
        let known: BTreeSet<_> = instances(folder).into_iter().map(|it| it.data_centre).collect();
        let is_known = |name: &DataCentreName| known.contains(name.as_str());
        assert!(upstreams.iter().all(|it| is_known(&it.data_centre)), "{folder}");
        let speeds: BTreeSet<_> = upstreams.iter().map(|it| it.decode_ms.to_string()).collect();
        // Plain servers have the default speed, which nothing uses.
        assert_eq!(speeds.len(), 3, "{folder}");
    }
}

#[test]
fn work_with_a_person_waiting_is_above_long_work() {
    assert_eq!(rank("magnolia", "question"), 0);
    assert!(rank("magnolia", "seat") < rank("magnolia", "grade"));
    assert!(rank("magnolia", "grade") < rank("magnolia", "plan_review"));
    assert_eq!(rank("registrul", "party"), 0);
    assert!(rank("registrul", "certificate") < rank("registrul", "dossier"));
}

#[test]
fn calls_that_may_not_be_repeated_declare_their_act() {
    for Size { folder, .. } in SIZES {
        let services = services(folder);
        let once: Vec<_> = services.iter().filter(|(_, spec)| !spec.idempotent).collect();
        let names: Vec<_> = once.iter().map(|(name, _)| name.as_str()).collect();
        let expected = if folder == "magnolia" { ["seat"] } else { ["certificate"] };
        assert_eq!(names, expected);
        for (name, spec) in once {
            assert!(!spec.act_fields.is_empty(), "{name}");
            assert_eq!(spec.protocol, ServiceProtocol::Plain, "{name}");
        }
    }
}

#[test]
fn credentials_are_those_that_the_page_says_to_replace() {
    for Size { folder, .. } in SIZES {
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
