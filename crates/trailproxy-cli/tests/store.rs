//! The store's section and subcommands, as an operator uses them.

use std::path::PathBuf;
use std::process::{Command, Output};
use trailproxy_standins::redis::Redis;
use trailproxy_standins::redis_server::RedisServer;

struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("tpc-{name}-{}.star", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn run(words: &[&str], file: &File) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trailproxy"));
    command.args(words).arg(&file.0);
    command.output().expect("it starts")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn complained(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_store_is_checked_shown_drained_and_taken_back() {
    let store = RedisServer::start(Redis::new(1), 1).expect("a server");
    let text = format!(
        "store(host = \"127.0.0.1\", port = {}, wait_ms = 50, records = True)\n",
        store.address.port()
    );
    let file = File::new("use", &text);
    let checked = run(&["store", "check"], &file);
    assert!(checked.status.success(), "{}", complained(&checked));
    assert!(said(&checked).contains("version 7.2.0") && said(&checked).contains("none yet"));
    let drained = run(&["store", "drain"], &file);
    assert!(drained.status.success(), "{}", complained(&drained));
    assert!(said(&run(&["store", "show"], &file)).contains("drained"));
    assert!(run(&["store", "drain", "--undo"], &file).status.success());
    let shown = run(&["store", "show"], &file);
    assert!(
        said(&shown).contains("none yet") && said(&shown).contains("records  0"),
        "{}",
        said(&shown)
    );
}

#[test]
fn what_can_not_be_used_is_told_with_file_and_field() {
    let store = RedisServer::start(Redis::new(1).with_password("right"), 1).expect("a server");
    let text = format!(
        "\nstore(host = \"127.0.0.1\", port = {})\n",
        store.address.port()
    );
    let locked = File::new("locked", &text);
    let refused = run(&["store", "check"], &locked);
    assert_eq!(refused.status.code(), Some(1));
    let words = complained(&refused);
    assert!(
        words.contains(":2:") && words.contains("password_file"),
        "{words}"
    );
    let nobody = File::new("nobody", "store(host = \"127.0.0.1\", port = 1)\n");
    let refused = run(&["store", "check"], &nobody);
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        complained(&refused).contains("field host or port"),
        "{}",
        complained(&refused)
    );
    let wrong = File::new("wrong", "store(host = \"127.0.0.1\", port = 70000)\n");
    let refused = run(&["check"], &wrong);
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        complained(&refused).contains("a whole number from 1 to 65535"),
        "{}",
        complained(&refused)
    );
}

#[test]
fn the_reader_hands_the_section_on_with_or_without_zones() {
    let alone = File::new("alone", "store(host = \"127.0.0.1\", hints = True)\n");
    let words = said(&run(&["zones", "sheet"], &alone));
    assert!(
        words.contains("\"store\":{") && words.contains("\"hints\":true"),
        "{words}"
    );
    assert!(!words.contains("crossings"), "{words}");
    let off = File::new("off", "store(host = \"127.0.0.1\", on = False)\n");
    assert_eq!(said(&run(&["zones", "sheet"], &off)).trim(), "null");
}
