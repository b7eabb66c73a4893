//! Large environment documents over a link that all hosts of a region share.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::link::Capacity;

use crate::cluster::eventually;
use crate::gateway::cluster::{Cluster, Layout, SAFE, document};
use crate::gateway::http::Request;

/// All hosts are away from the store: links between hosts have no limit here, so that a host near the
/// store would be a way round the link.
const GATEWAYS: u16 = 8;
/// Bytes per second from the store to the region.
const LINK_BYTES_PER_S: u64 = 1_000_000;
/// Time within which a version has to be in force on all hosts.
pub const APPLY_MAX: Duration = Duration::from_millis(4_000);

const LAST_VERSION: u64 = 6;
/// The same where the deployment is small.
const REJECTED_APPLY_MAX: Duration = Duration::from_millis(2_500);
/// Most times that one version may cross the link.
const COPIES_MAX: u64 = 2;

/// Path of a route that only the document of this version has.
fn path_of(version: u64) -> String {
    format!("/added-in-{version}/a")
}

/// Returns a document with `routes` further routes, and one that names its version.
pub fn large_document(version: u64, routes: u64) -> String {
    let mut document: Value = serde_json::from_str(&document(version, 3_000)).unwrap();
    let list = document["Routes"].as_array_mut().unwrap();
    let look = list.iter().find(|route| route["Prefix"] == "/look/");
    let template = look.unwrap().clone();
    let add = |prefix: String| {
        let mut route = template.clone();
        route["Name"] = json!(format!("r{prefix}"));
        route["Prefix"] = json!(prefix);
        route
    };
    let numbers = 0..routes;
    list.extend(numbers.map(|number| add(format!("/{:x}/", number.wrapping_mul(0x9e37_79b9)))));
    list.push(add(format!("/added-in-{version}/")));
    document.to_string()
}

/// Writes a document in place of the operators.
pub fn put(cluster: &Cluster, document: &str) {
    let mut store = cluster.store.state();
    store.put("op", "config", document.as_bytes());
}

fn start(gateways: u16, bytes_per_s: u64) -> Cluster {
    Cluster::start_with(Layout {
        near: 0,
        far: gateways,
        workers: 1,
        capacity: Some(Capacity::new(bytes_per_s)),
    })
}

/// Returns the bytes that have crossed the link so far.
fn far_bytes(cluster: &Cluster) -> u64 {
    let links = (0..GATEWAYS).map(|gateway| cluster.store_link(gateway));
    links.map(|link| link.forwarded_bytes()).sum()
}

fn is_served(cluster: &Cluster, gateway: u16, path: &str) -> bool {
    let answer = Request::new("GET", path, "r").send(cluster.caller_address(gateway));
    answer.status == 200
}

#[test]
fn large_documents_in_series_are_in_force_in_time() {
    let cluster = start(GATEWAYS, LINK_BYTES_PER_S);
    let before = far_bytes(&cluster);
    let mut document_bytes = 0;
    for version in 2..=LAST_VERSION {
        let document = large_document(version, 2_500);
        document_bytes += document.len() as u64;
        put(&cluster, &document);
        if version == 2 {
            std::thread::sleep(Duration::from_millis(300));
            cluster.store.state().truncate_history();
        }
        if version < LAST_VERSION {
            std::thread::sleep(Duration::from_millis(400));
        }
    }
    let acknowledged = Instant::now();
    eventually(APPLY_MAX, "the last version is in force everywhere", || {
        (0..GATEWAYS).all(|gateway| cluster.environment_version(gateway) == Some(LAST_VERSION))
    });
    let bytes = far_bytes(&cluster) - before;
    println!("in force after {:?}, {bytes} bytes", acknowledged.elapsed());
    // The store encodes documents as base64.
    assert!(bytes < COPIES_MAX * document_bytes * 4 / 3, "{bytes} bytes");
    for gateway in 0..GATEWAYS {
        assert!(is_served(&cluster, gateway, &path_of(LAST_VERSION)));
        assert!(is_served(&cluster, gateway, SAFE));
    }
}

#[test]
fn document_that_arrives_slowly_is_not_given_up() {
    let cluster = start(1, LINK_BYTES_PER_S / 4);
    put(&cluster, &large_document(2, 2_500));
    eventually(APPLY_MAX, "the version is in force", || {
        cluster.environment_version(0) == Some(2)
    });
}

#[test]
fn hosts_that_the_store_rejects_delay_no_version_on_the_others() {
    let cluster = Cluster::start_with(Layout {
        near: 1,
        far: 4,
        workers: 1,
        capacity: None,
    });
    let mut version = 1;
    for rejected in 0..5 {
        cluster.set_rejected(rejected, true);
        for _ in 0..2 {
            // Longer than the report intervals, so that hosts have turned to other sources.
            std::thread::sleep(Duration::from_millis(1_500));
            version += 1;
            put(&cluster, &document(version, 3_000));
            let context = format!("host {rejected} is rejected, version {version}");
            eventually(REJECTED_APPLY_MAX, &context, || {
                let hosts = (0..5).filter(|host| *host != rejected);
                hosts
                    .map(|host| cluster.environment_version(host))
                    .all(|found| found == Some(version))
            });
        }
        cluster.set_rejected(rejected, false);
        // The hosts are in touch again before the next fault.
        std::thread::sleep(Duration::from_millis(4_000));
    }
}
