//! The command line: exit codes, plain messages, and what goes into the folder.

use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

fn line(words: &[&str]) -> Output {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(env!("CARGO_BIN_EXE_trailproxy"));
    command
        .args(words)
        .current_dir(root)
        .output()
        .expect("it starts")
}

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("trailproxy-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path.to_string_lossy().into_owned()
}

fn code(out: &Output) -> Option<i32> {
    out.status.code()
}

#[test]
fn every_scenario_and_the_example_fit() {
    for name in ["calm", "cascade", "roll", "big"] {
        let out = line(&["check", &format!("scenarios/{name}.star")]);
        assert_eq!(
            code(&out),
            Some(0),
            "{}",
            String::from_utf8_lossy(&out.stderr)
        );
    }
    assert_eq!(
        code(&line(&["check", "deploy/example/operator.star"])),
        Some(0)
    );
}

#[test]
fn a_wrong_file_is_one_line_with_its_place_and_code_1() {
    let path = file("wrong.star", "lab(\n    days = 0,\n)\n");
    let out = line(&["check", &path]);
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(code(&out), Some(1));
    assert!(
        said.contains("wrong.star:2:5: section lab, field days: found 0, accepted: a whole number"),
        "{said}"
    );
    assert_eq!(said.lines().count(), 1);
    assert_eq!(code(&line(&["check", "nowhere.star"])), Some(1));
    assert_eq!(code(&line(&["lab", "model", &path])), Some(1));
    let _ = std::fs::remove_file(path);
}

#[test]
fn unknown_words_are_code_2() {
    assert_eq!(code(&line(&["lab", "dance"])), Some(2));
    assert_eq!(
        code(&line(&[
            "lab",
            "model",
            "scenarios/calm.star",
            "--policy",
            "best"
        ])),
        Some(2)
    );
    assert_eq!(code(&line(&["--help"])), Some(0));
    assert_eq!(code(&line(&["lab", "hunt", "--help"])), Some(0));
}

#[test]
fn the_folder_holds_a_summary_for_programs_and_a_page_that_needs_no_network() {
    let folder = file("out", "");
    let _ = std::fs::remove_file(&folder);
    let words = [
        "lab",
        "model",
        "scenarios/calm.star",
        "--days",
        "2",
        "--seed",
        "7",
        "--out",
        &folder,
    ];
    let first = line(&words);
    assert_eq!(code(&first), Some(0));
    assert_eq!(
        first.stdout,
        line(&words).stdout,
        "the same seed gave another summary"
    );
    let text = std::fs::read_to_string(format!("{folder}/summary.json")).expect("a summary");
    let summary: Value = serde_json::from_str(&text).expect("JSON");
    let wanted = [
        "seed",
        "accesses",
        "done",
        "rejected",
        "aborted",
        "lost",
        "service",
        "service_ci95",
        "rules_broken",
        "latency_ms",
        "bytes_origin",
        "bytes_hub",
        "bytes_hit",
    ];
    for field in wanted {
        assert!(!summary[field].is_null(), "{field} is missing");
    }
    for quantile in ["p50", "p99", "p999"] {
        assert!(
            summary["latency_ms"][quantile]
                .as_f64()
                .is_some_and(|ms| ms > 0.0)
        );
    }
    assert_eq!(summary["seed"], 7);
    let page = std::fs::read_to_string(format!("{folder}/report.html")).expect("a page");
    assert!(page.matches("<svg").count() >= 4);
    let links = page.replace("http://www.w3.org/2000/svg", "");
    assert!(
        !links.contains("http://") && !links.contains("https://") && !links.contains("<script")
    );
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn two_policies_are_told_apart_only_outside_the_noise() {
    let words = [
        "lab",
        "compare",
        "hash",
        "hash",
        "--on",
        "scenarios/calm.star",
        "--days",
        "3",
    ];
    let out = line(&words);
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        said.lines()
            .any(|line| line.starts_with("service") && line.ends_with("no difference")),
        "{said}"
    );
}

#[test]
fn a_hunt_leaves_a_scenario_that_is_read_again() {
    let base = "scenario(name = \"h\", seconds = 10)
zone(name = \"hub\")
zone(name = \"depot\", link_kb_per_s = 36000, dispatchers = 2)
hosts(role = \"cache\", zone = \"depot\", count = 3)
hosts(role = \"parent\", zone = \"hub\", count = 2)
hosts(role = \"origin\", zone = \"hub\")
track(name = \"label\", fresh_ms = 5000)
stream(track = \"label\", per_s = 40, objects = 300)
";
    let (path, folder) = (file("hunt.star", base), file("hunt-out", ""));
    let _ = std::fs::remove_file(&folder);
    let out = line(&["lab", "hunt", &path, "--tries", "20", "--out", &folder]);
    assert_eq!(
        code(&out),
        Some(0),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let found = format!("{folder}/found.star");
    assert_eq!(code(&line(&["check", &found])), Some(0));
    assert!(
        std::fs::read_to_string(&found)
            .expect("a day")
            .contains("trouble(")
    );
    let _ = std::fs::remove_file(path);
    let _ = std::fs::remove_dir_all(folder);
}
