//! Tests of traffic between zones: reports, budgets, and an operator's file that is valid, invalid or slow to evaluate.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::{Value as Json, json};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A folder for one test, which is deleted when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("tpz-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    fn program(&self, name: &str, script: &str) -> PathBuf {
        let path = self.write(name, &format!("#!/bin/sh\n{script}\n"));
        let all = std::fs::Permissions::from_mode(0o755);
        std::fs::set_permissions(&path, all).expect("a program");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The evaluated operator's file with one limit for traffic into the zone of the caches.
fn zones_section(kb_per_s: f64, metrics: &Path) -> Json {
    json!({
        "file": "operator.star", "on": true, "report_s": 0.5, "first": [], "metrics": metrics, "alarm": null,
        "places": {"": [1, 1]},
        "crossings": [{
            "name": "link", "out_of": "", "into": "edge", "kb_per_s": kb_per_s, "burst_kb": kb_per_s,
            "reserve_kb_per_s": kb_per_s / 4.0, "largest_kb": 0.0, "least_kb_per_s": 0.0, "most_kb_per_s": 0.0,
            "places": {"": [2, 1], "into": [2, 30]}
        }]
    })
}

/// Starts a cluster with this operator's file.
fn with_operator(path: &Path) -> Cluster {
    Cluster::with_config(|config, _| config["operator"] = json!(path))
}

/// Waits until the log contains this text.
fn wait_for_log(cluster: &Cluster, words: &str) {
    wait_for(words, || cluster.program.log_contains(words));
}

/// Guards against traffic between zones that is missing in the report or in the metrics file, and against a metrics
/// file that is only partly written.
#[test]
fn crossing_traffic_is_logged_and_written_as_prometheus_text() {
    let folder = Folder::new("report");
    let metrics = folder.0.join("zones.prom");
    let path = folder.write(
        "operator.json",
        &zones_section(100_000.0, &metrics).to_string(),
    );
    let mut cluster = with_operator(&path);
    let mut client = cluster.client();
    client.request("image", 5, 3000);
    let request = cluster.next_request();
    assert!(request.field("via").is_some());
    request.answer("data", "why=TCP_MISS", &[7; 2048]);
    assert!(matches!(client.next_answer().1, FinalAnswer::Done(..)));
    wait_for_log(&cluster, "\"cause\":\"first\",\"moves\":1,\"kb\":2.0");
    let line = "trailproxy_crossed_bytes_total{out_of=\"hub\",into=\"edge\",tier=\"parent\",track=\"image\",cause=\"first\"} 2048.0";
    wait_for("metrics", || {
        std::fs::read_to_string(&metrics)
            .is_ok_and(|text| text.contains(line) && text.ends_with("# EOF\n"))
    });
    cluster.program.signal("-TERM");
    assert!(cluster.program.wait_for_exit().success());
}

/// The budget of the link is used up. Guards against fills over the link, and against refusing requests that have a
/// reserve.
#[test]
fn over_an_exhausted_link_only_cached_copies_and_write_requests_are_served() {
    let folder = Folder::new("spent");
    let path = folder.write(
        "operator.json",
        &zones_section(0.01, Path::new("")).to_string(),
    );
    let cluster = with_operator(&path);
    let mut client = cluster.client();
    client.request("image", 5, 3000);
    let request = cluster.next_request();
    assert_eq!(request.field("via"), None, "a fill over an exhausted link");
    request.answer("data", "why=TCP_STALE", b"old");
    assert!(matches!(client.next_answer().1, FinalAnswer::Done(..)));
    client.request("image", 6, 3000);
    cluster.next_request().answer("absent", "", b"");
    let FinalAnswer::Error(_, fields) = client.next_answer().1 else {
        panic!("nothing to answer with");
    };
    assert!(!fields.is_empty(), "no retry time");
    client.request("order", 7, 3000);
    let order = cluster.next_request();
    order.answer("data", "", b"taken");
    assert!(matches!(client.next_answer().1, FinalAnswer::Done(..)));
}

/// Guards against a reload that keeps the former limits or loses the traffic counted before.
#[test]
fn a_reload_applies_new_limits_and_keeps_the_account() {
    let folder = Folder::new("reload");
    let path = folder.write(
        "operator.json",
        &zones_section(100_000.0, Path::new("")).to_string(),
    );
    let cluster = with_operator(&path);
    let mut client = cluster.client();
    client.request("image", 5, 3000);
    cluster
        .next_request()
        .answer("data", "why=TCP_MISS", &[7; 1024]);
    client.next_answer();
    folder.write(
        "operator.json",
        &zones_section(0.01, Path::new("")).to_string(),
    );
    cluster.program.signal("-HUP");
    wait_for_log(&cluster, "\"kb_per_s\":0.01");
    client.request("image", 6, 3000);
    assert_eq!(cluster.next_request().field("via"), None);
    wait_for_log(&cluster, "\"moves\":1,\"kb\":1.0");
    // The configuration names no operator's file any more.
    let mut config = cluster.config.clone();
    config
        .as_object_mut()
        .expect("an object")
        .remove("operator");
    cluster.program.reload_config(&config.to_string());
    wait_for_log(&cluster, "zones are off");
    client.request("image", 7, 3000);
    assert!(cluster.next_request().field("via").is_some());
}

/// Guards against switching limits off when the operator's file becomes invalid or unreadable.
#[test]
fn an_invalid_file_is_refused_with_its_position_and_the_former_limits_hold() {
    let folder = Folder::new("refused");
    let path = folder.write(
        "operator.json",
        &zones_section(0.01, Path::new("")).to_string(),
    );
    let cluster = with_operator(&path);
    let mut bad = zones_section(100_000.0, Path::new(""));
    bad["crossings"][0]["into"] = json!("attic");
    folder.write("operator.json", &bad.to_string());
    cluster.program.signal("-HUP");
    wait_for_log(&cluster, "operator's file refused");
    wait_for_log(
        &cluster,
        "operator.star:2:30: section crossing, field into: found \"attic\", accepted: one of hub, edge",
    );
    folder.write("operator.json", "{");
    cluster.program.signal("-HUP");
    wait_for_log(&cluster, "found no sections");
    std::fs::remove_file(&path).expect("a file");
    cluster.program.signal("-HUP");
    wait_for_log(&cluster, "can't be read");
    let mut client = cluster.client();
    client.request("image", 5, 3000);
    assert_eq!(
        cluster.next_request().field("via"),
        None,
        "the former budget holds"
    );
}

/// The operator's file is a script that another program evaluates. Guards against losing that program's error message,
/// and against unbounded output.
#[test]
fn a_script_is_read_by_the_reader_program_and_its_error_is_passed_on() {
    let folder = Folder::new("reader");
    let script = folder.write("operator.star", "zones()\n");
    let output = zones_section(0.01, Path::new("")).to_string();
    let reader = folder.program(
        "reader",
        &format!("test \"$1 $2\" = 'zones sheet' && echo '{output}'"),
    );
    let cluster = Cluster::with_config(|config, _| {
        config["operator"] = json!(script);
        config["reader"] = json!(reader);
    });
    let mut client = cluster.client();
    client.request("image", 5, 3000);
    assert_eq!(cluster.next_request().field("via"), None);
    folder.program(
        "reader",
        "echo 'trailproxy: operator.star:3:1: section crossing: found two' >&2; exit 1",
    );
    cluster.program.signal("-HUP");
    wait_for_log(
        &cluster,
        "why: operator.star:3:1: section crossing: found two",
    );
    folder.program("reader", "head -c 9000000 /dev/zero");
    cluster.program.signal("-HUP");
    wait_for_log(&cluster, "wrote more than");
}

/// Guards against requests that wait while the operator's file is evaluated.
#[test]
fn a_hanging_reader_program_delays_no_request_and_times_out() {
    let folder = Folder::new("hangs");
    let script = folder.write("operator.star", "zones()\n");
    let reader = folder.program("reader", "echo null");
    let cluster = Cluster::with_config(|config, _| {
        config["operator"] = json!(script);
        config["reader"] = json!(reader);
    });
    folder.program("reader", "exec sleep 60");
    cluster.program.signal("-HUP");
    let (mut client, begun) = (cluster.client(), Instant::now());
    for object in 0..50 {
        client.request("image", object, 3000);
        cluster.next_request().answer_hit(b"seen");
        assert!(matches!(client.next_answer().1, FinalAnswer::Done(..)));
    }
    assert!(begun.elapsed() < Duration::from_secs(4));
    wait_for_log(&cluster, "did not finish reading");
}

/// Guards against a start without the limits that the operator asked for.
#[test]
fn a_start_with_an_invalid_file_ends_with_one_plain_line() {
    let folder = Folder::new("start");
    let mut bad = zones_section(10.0, Path::new(""));
    bad["crossings"][0]["reserve_kb_per_s"] = json!(11.0);
    let path = folder.write("operator.json", &bad.to_string());
    let words = Cluster::new().startup_error(&path);
    let wanted = "trailproxyd: operator.star:2:1: section crossing, field reserve_kb_per_s: found 11, accepted: 10 or less";
    assert!(words.starts_with(wanted), "{words}");
}
