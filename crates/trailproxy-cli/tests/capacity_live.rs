//! `trailproxy capacity-live` refuses what does not fit before it starts anything.

use std::process::Command;

fn refused(arguments: &[&str]) -> (Option<i32>, String) {
    let ran = Command::new(env!("CARGO_BIN_EXE_trailproxy"))
        .arg("capacity-live")
        .args(arguments)
        .args(["--daemon", env!("CARGO_BIN_EXE_trailproxy")])
        .output()
        .expect("it runs");
    let words = String::from_utf8_lossy(&ran.stderr).into_owned();
    (ran.status.code(), words)
}

#[test]
fn an_argument_that_does_not_fit_is_named_with_what_is_accepted() {
    for (arguments, wanted) in [
        (
            ["--members", "many"],
            "--members: found \"many\", accepted: whole numbers",
        ),
        (
            ["--members", "8"],
            "--members: found 8, accepted: 9 to 1024",
        ),
        (["--real", "17"], "--real: found 17, accepted: 1 to 16"),
        (
            ["--processes", "201"],
            "--processes: found 201, accepted: 2 to 200",
        ),
        (["--seconds", "0"], "--seconds: found 0, accepted: 1 to 600"),
        (
            ["--rates", "10,501"],
            "--rates: found 501, accepted: 1 to 500",
        ),
        (["--hollow", "/nowhere"], "--hollow names the program"),
    ] {
        let (code, words) = refused(&arguments);
        assert_eq!(code, Some(1), "{arguments:?}: {words}");
        assert!(words.contains(wanted), "{arguments:?}: {words}");
        assert_eq!(words.lines().count(), 1, "{arguments:?}: {words}");
    }
}
