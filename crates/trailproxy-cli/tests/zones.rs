//! `trailproxy zones` as it is run: what it prints, where it writes, and how it ends.

use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("tp-cli-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_trailproxy");
    Command::new(program)
        .arg("zones")
        .args(arguments)
        .output()
        .expect("it runs")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn summary(folder: &Path) -> Value {
    let text = std::fs::read_to_string(folder.join("summary.json")).expect("a summary");
    serde_json::from_str(&text).expect("JSON")
}

/// A log of reports each second: so many KB of videos and of orders in each, and some KB that found no room.
fn log(dispatcher: &str, life: u64, seconds: &[(f64, f64, f64)]) -> String {
    let (mut video, mut order, mut refused) = (0.0, 0.0, 0.0);
    let mut text = String::from("Dec 01 10:00:00.000 INFO started, listen: 127.0.0.1:1\n");
    for (nth, (more_video, more_order, more_refused)) in (1u64..).zip(seconds) {
        (video, order, refused) = (
            video + more_video,
            order + more_order,
            refused + more_refused,
        );
        let line = |track: &str, cause: &str, kb: f64| json!({"from": "hub", "to": "depot", "tier": "parent", "track": track, "cause": cause, "moves": nth, "kb": kb});
        let report = json!({"dispatcher": dispatcher, "life": life, "at_us": nth * 1_000_000,
            "lines": [line("video", "first", video), line("order", "written", order)], "ways": [], "budgets": [],
            "turned_away": [{"track": "video", "accesses": nth, "kb": refused}], "under_way_kb": 0.0, "left_out_kb": 0.0});
        text += &format!("Dec 01 10:00:0{nth}.000 INFO zones, report: {report}\n");
    }
    text
}

#[test]
fn two_logs_become_one_account_with_a_page() {
    let folder = Folder::new("report");
    let a = folder.write(
        "a.log",
        &log("n0", 1, &[(100.0, 10.0, 0.0), (200.0, 10.0, 50.0)]),
    );
    let b = folder.write(
        "b.log",
        &(log("n1", 1, &[(50.0, 5.0, 0.0)]) + &log("n1", 9, &[(7.0, 0.0, 0.0)])),
    );
    let out = folder.0.join("out");
    let done = run(&[
        "report",
        &a,
        &b,
        "--slot-s",
        "1",
        "--out",
        &out.display().to_string(),
    ]);
    assert!(
        done.status.success(),
        "{}",
        String::from_utf8_lossy(&done.stderr)
    );
    assert!(
        said(&done).starts_with("4 reports, 3 starts of dispatchers"),
        "{}",
        said(&done)
    );
    let summary = summary(&out);
    assert!(
        (summary["kb"].as_f64().unwrap_or(0.0) - 382.0).abs() < 1e-6,
        "{summary}"
    );
    assert_eq!(summary["refused"]["video"]["kb"], 50.0);
    let page = std::fs::read_to_string(out.join("report.html")).expect("a page");
    assert!(
        page.contains("<svg")
            && page.contains("from hub into depot")
            && !page.contains("http://www.example")
    );
}

#[test]
fn a_plan_is_the_least_link_and_reserve_and_says_what_binds() {
    let folder = Folder::new("plan");
    let seconds = [(100.0, 10.0, 0.0), (200.0, 40.0, 100.0), (100.0, 10.0, 0.0)];
    let path = folder.write("a.log", &log("n0", 1, &seconds));
    let out = folder.0.join("out");
    let out_text = out.display().to_string();
    let words = [
        "plan",
        &path,
        "--slot-s",
        "1",
        "--service",
        "1",
        "--first",
        "order",
        "--out",
        &out_text,
    ];
    let done = run(&words);
    assert!(
        done.status.success(),
        "{}",
        String::from_utf8_lossy(&done.stderr)
    );
    let summary = summary(&out);
    // In the second second 200 KB crossed, 100 found no room, and orders had 40.
    let rate = |of: &str| summary[of]["kb_per_s"].as_f64().unwrap_or(0.0);
    assert!((rate("link") - 340.0).abs() < 0.1, "{summary}");
    assert!((rate("reserve") - 40.0).abs() < 0.1, "{summary}");
    assert_eq!(summary["link"]["binding_slots"], json!([1]));
    let less = run(&[
        "plan",
        &path,
        "--slot-s",
        "1",
        "--of",
        "video=0.8",
        "--out",
        &out_text,
    ]);
    assert!(less.status.success());
    assert!(summary_rate(&out) < 340.0);
}

fn summary_rate(folder: &Path) -> f64 {
    summary(folder)["link"]["kb_per_s"]
        .as_f64()
        .unwrap_or(f64::INFINITY)
}

#[test]
fn a_sheet_is_printed_as_json_and_one_that_does_not_fit_ends_with_its_line() {
    let folder = Folder::new("sheet");
    let good = "zones()\ncrossing(name = \"a\", into = \"depot\", kb_per_s = 10, burst_kb = 5)\n";
    let done = run(&["sheet", &folder.write("good.star", good)]);
    let sheet: Value = serde_json::from_str(&said(&done)).expect("JSON");
    assert_eq!(sheet["crossings"][0]["kb_per_s"], 10.0);
    let off = run(&["sheet", &folder.write("off.star", "zones(on = False)\n")]);
    assert_eq!(said(&off), "null\n");
    let bad = good.replace("burst_kb = 5", "burst_kb = 5, largest_kb = 16");
    let path = folder.write("bad.star", &bad);
    let refused = run(&["sheet", &path]);
    let words = String::from_utf8_lossy(&refused.stderr);
    assert_eq!(refused.status.code(), Some(1));
    let place = format!("trailproxy: {path}:2:");
    assert!(
        words.starts_with(&place)
            && words.contains("field largest_kb: found 16, accepted: 15 or less"),
        "{words}"
    );
    let settings =
        json!({"settings": {"failure_domains": ["hub", "attic"], "classes": [{"name": "video"}]}});
    let config = folder.write("config.json", &settings.to_string());
    let unknown = run(&[
        "sheet",
        &folder.write("good.star", good),
        "--config",
        &config,
    ]);
    let words = String::from_utf8_lossy(&unknown.stderr);
    assert!(
        words.contains("field into: found \"depot\", accepted: one of hub, attic"),
        "{words}"
    );
}

#[test]
fn what_makes_no_sense_ends_with_one_plain_line() {
    let folder = Folder::new("bad");
    let empty = folder.write("empty.log", "nothing here\n");
    let path = folder.write("a.log", &log("n0", 1, &[(100.0, 10.0, 0.0)]));
    let all: [(&[&str], &str); 5] = [
        (&["report", &empty], "no report of traffic"),
        (&["report", "no-such.log"], "can't be read"),
        (
            &["report", &path, "--slot-s", "0"],
            "accepted: 0.1 to 86400",
        ),
        (
            &["plan", &path, "--of", "parcel=1"],
            "accepted: TRACK=PART with one of order, video",
        ),
        (
            &["plan", &path, "--service", "2"],
            "accepted: a service from 0 to 1",
        ),
    ];
    for (arguments, wanted) in all {
        let done = run(arguments);
        let words = String::from_utf8_lossy(&done.stderr);
        assert_eq!(done.status.code(), Some(1), "{arguments:?}");
        assert!(
            words.contains(wanted) && words.lines().count() == 1,
            "{words}"
        );
    }
}
