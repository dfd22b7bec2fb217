//! Tests of a process that is stopped and goes on: what arrived meanwhile is read before any wait for it ends.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;

use harness::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

/// Longer than the time after which a connection with half an answer is not used any more.
const STOP: Duration = Duration::from_millis(800);

/// Half an answer has arrived when the process is stopped, and the rest arrives meanwhile. Guards against taking the
/// connection for stuck before the rest is read, so that it is not used again.
#[test]
fn a_connection_whose_answer_was_completed_during_a_stop_is_used_again() {
    for _ in 0..3 {
        let cluster = Cluster::with_config(|config, addresses| {
            let cache = member("c1", addresses["c1"], "ready", 0);
            config["known"]["entries"] = json!([hosts(1, true, &[cache])]);
        });
        let mut client = cluster.client();
        client.request("image", 7, 3_000);
        let request = cluster.next_request();
        let minted = unix_ms() + 1;
        let fields = format!("why=TCP_HIT,tag=aa,minted={minted}");
        let answer = format!(
            "*4\r\n${}\r\n{}\r\n$4\r\ndata\r\n${}\r\n{fields}\r\n$4\r\nkept\r\n",
            request.id.len(),
            request.id,
            fields.len()
        );
        let (half, rest) = answer.split_at(answer.len() / 2);
        (&request.stream).write_all(half.as_bytes()).expect("half");
        std::thread::sleep(Duration::from_millis(50));
        cluster.program.stop();
        (&request.stream).write_all(rest.as_bytes()).expect("rest");
        std::thread::sleep(STOP);
        cluster.program.signal("-CONT");
        assert_done(client.next_answer().1, b"kept");
        client.request("image", 7, 3_000);
        let next = cluster.next_request();
        next.answer_hit(b"x");
        client.next_answer();
        assert_eq!(next.peer(), request.peer());
    }
}

/// The reader of the operator's file finishes while the process is stopped, for longer than the reader may take. Guards
/// against taking it for late, so that the process does not start.
#[test]
fn a_reader_that_finished_during_a_stop_is_not_late() {
    const READER_LIMIT: Duration = Duration::from_secs(3);
    let folder = std::env::temp_dir().join(format!("stopped-reader-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (reader, started) = (folder.join("reader"), folder.join("started"));
    let script = format!(
        "#!/bin/sh\ntouch {}\nsleep 1\necho '{{}}'\n",
        started.display()
    );
    std::fs::write(&reader, script).expect("a reader");
    let executable = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(&reader, executable).expect("an executable file");
    let config = json!({
        "name": "n1", "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"pos": 0, "entries": []}, "settings": Cluster::new().config["settings"],
        "operator": folder.join("operator.star"), "reader": reader,
    });
    let program = Program::spawn_in(&config, free_address(), &Environment::default());
    wait_for("the reader is started", || started.exists());
    program.stop();
    std::thread::sleep(READER_LIMIT + Duration::from_millis(500));
    program.signal("-CONT");
    wait_for("the daemon listens", || {
        TcpStream::connect(program.address).is_ok()
    });
    let _ = std::fs::remove_dir_all(folder);
}
