//! `trailproxy peers` against a stand-in of one dispatcher's socket.

use std::net::{SocketAddr, UdpSocket};
use std::process::{Command, Output};
use std::time::Duration;
use trailproxy_peers::decide::messages::{BootId, Message, MessagePart, PeerId};
use trailproxy_peers::wire::Seal;

fn file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("tpc-{name}-{}.star", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn peers(task: &str, file: &std::path::Path, more: &[&str]) -> (i32, String) {
    said(&["peers", task], file, more)
}

fn said(task: &[&str], file: &std::path::Path, more: &[&str]) -> (i32, String) {
    let ran = Command::new(env!("CARGO_BIN_EXE_trailproxy"))
        .args(task)
        .arg(file)
        .args(more)
        .output();
    let Output {
        status,
        stdout,
        stderr,
    } = ran.expect("it runs");
    let words = [stdout, stderr].concat();
    (
        status.code().unwrap_or(-1),
        String::from_utf8_lossy(&words).into_owned(),
    )
}

/// One that answers as often as it is asked, in this fleet, and loses the first question.
fn stand_in(fleet: &'static str) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("an address");
    let waits = socket.set_read_timeout(Some(Duration::from_secs(20)));
    waits.expect("a limit");
    std::thread::spawn(move || {
        let seal = Seal::new(fleet, b"");
        let (mut bytes, mut lost) = (vec![0; 4_096], false);
        while let Ok((size, from)) = socket.recv_from(&mut bytes) {
            let Ok((message, _)) = seal.read(&bytes[..size]) else {
                continue;
            };
            if !std::mem::replace(&mut lost, true) {
                continue;
            }
            let shown = match message.parts[..] {
                [MessagePart::StatusRequest(no)] => {
                    MessagePart::OperatorReply(no, "whole: alive=2".into())
                }
                [MessagePart::SubsystemStatusRequest(no, 1)] => {
                    let text = "budget 1/link: whole=9\n  word given to 0a: 3\nbudget cold parents: whole=1";
                    MessagePart::OperatorReply(no, text.into())
                }
                [MessagePart::Leave(no, true)] => {
                    MessagePart::OperatorReply(no, "left: alive=2".into())
                }
                _ => continue,
            };
            let message = Message {
                from: PeerId(1),
                boot_id: BootId(1),
                incarnation: 0,
                stamp: message.stamp,
                parts: vec![shown],
            };
            let bytes = seal.write(&message).expect("short");
            let _ = socket.send_to(&bytes, from);
        }
    });
    address
}

#[test]
fn one_that_answers_is_checked_shown_and_told_to_leave() {
    let at = stand_in("f");
    let path = file(
        "answers",
        &format!("peers(fleet = \"f\", seeds = [\"{at}\"])\n"),
    );
    let (code, words) = peers("check", &path, &[]);
    assert!(code == 0 && words.contains("answers in"), "{words}");
    let (code, words) = peers("show", &path, &[]);
    assert!(code == 0 && words.contains("whole: alive=2"), "{words}");
    let (code, words) = peers("leave", &path, &["--at", &at.to_string()]);
    assert!(code == 0 && words.contains("left: alive=2"), "{words}");
    let _ = std::fs::remove_file(path);
}

#[test]
fn nobody_or_another_fleet_is_told_so() {
    let at = stand_in("other");
    let path = file(
        "nobody",
        &format!("peers(fleet = \"f\", seeds = [\"{at}\"])\n"),
    );
    let (code, words) = peers("check", &path, &[]);
    assert!(
        code == 1 && words.contains("no answer: nobody there, a cut, or another fleet or secret"),
        "{words}"
    );
    let _ = std::fs::remove_file(path);
}

#[test]
fn fields_that_do_not_fit_are_named_with_what_is_accepted() {
    for (section, wanted) in [
        ("peers(fleet = \"f\")", "field seeds"),
        (
            "peers(fleet = \"f\", seeds = [\"here\"])",
            "a list of IPv4 addresses with ports",
        ),
        (
            "peers(fleet = \"f\", seeds = [\"1.2.3.4:0\"])",
            "a list of IPv4 addresses with ports",
        ),
        (
            "peers(fleet = \"f\", seeds = [\"1.2.3.4:5\"], unsure = \"wait\")",
            "one of send, refuse",
        ),
        (
            "peers(fleet = \"f\", seeds = [\"1.2.3.4:5\"], secret_file = \"nowhere\")",
            "field secret_file",
        ),
    ] {
        let path = file("fields", section);
        let (code, words) = peers("check", &path, &[]);
        assert!(
            code == 1 && words.contains(wanted) && words.contains(":1:"),
            "{section}: {words}"
        );
        let _ = std::fs::remove_file(path);
    }
}

#[test]
fn sites_that_do_not_fit_are_named_with_line_and_field() {
    const PEERS: &str = "peers(fleet = \"f\", listen = \"10.0.0.1:7\", seeds = [\"10.0.0.1:7\"])\n";
    let site = |name: &str, zone: &str, region: &str, members: &str| {
        format!(
            "site(name = {name:?}, zone = {zone:?}, region = {region:?}, members = [{members:?}])\n"
        )
    };
    let twice = [
        site("a", "z", "r", "10.0.0.0/24"),
        site("b", "z", "r", "10.0.0.1:7"),
    ]
    .concat();
    let regions = [
        site("a", "z", "r", "10.0.0.1"),
        site("b", "z", "q", "10.0.1.1"),
    ]
    .concat();
    let none = site("a", "z", "r", "10.0.1.0/24");
    let garbled = site("a", "z", "r", "10.0.0.300");
    for (sites, wanted) in [
        (
            twice,
            ":3:1: section site, field members: found \"10.0.0.1:7\", accepted: what site \"a\" in line 2 does not have",
        ),
        (
            regions,
            ":3:1: section site, field region: found \"q\", accepted: \"r\", where line 2 has zone \"z\"",
        ),
        (
            none,
            ":2:1: section site, field members: found no site with 10.0.0.1:7",
        ),
        (garbled, "field members"),
    ] {
        let path = file("sites", &format!("{PEERS}{sites}"));
        let (code, words) = peers("check", &path, &[]);
        assert!(code == 1 && words.contains(wanted), "{sites}: {words}");
        let _ = std::fs::remove_file(path);
    }
}

#[test]
fn budgets_are_shown_and_one_of_them_is_explained() {
    let at = stand_in("f");
    let section = "budgets(voters = [\"a\", \"b\", \"c\"])";
    let path = file(
        "budgets",
        &format!("peers(fleet = \"f\", seeds = [\"{at}\"])\n{section}\n"),
    );
    let (code, words) = said(&["budgets", "show"], &path, &[]);
    assert!(
        code == 0 && words.contains("1/link") && words.contains("cold parents"),
        "{words}"
    );
    let (code, words) = said(&["budgets", "explain"], &path, &["link"]);
    assert!(
        code == 0 && words.contains("word given to 0a: 3"),
        "{words}"
    );
    assert!(!words.contains("cold parents"), "{words}");
    let (_, words) = said(&["budgets", "explain"], &path, &["nothing"]);
    assert!(words.contains("nothing of it there"), "{words}");
    let wrong = file(
        "wrong-budgets",
        "peers(fleet = \"f\", seeds = [\"1.2.3.4:5\"])\nbudgets(voters = [\"a\", \"b\"])\n",
    );
    for task in [&["budgets", "show"][..], &["check"]] {
        let (code, words) = said(task, &wrong, &[]);
        assert!(
            code == 1 && words.contains(":2:1: section budgets, field voters"),
            "{words}"
        );
    }
    for path in [path, wrong] {
        let _ = std::fs::remove_file(path);
    }
}
