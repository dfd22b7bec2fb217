//! Tests of the adapter as a process: batches in, replies or a plain error out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_trailproxy-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(count: u32, records: &[u8]) -> Vec<u8> {
    let mut frame = count.to_le_bytes().to_vec();
    frame.extend((16 + records.len() as u32).to_le_bytes());
    frame.extend(1_000_000u64.to_le_bytes());
    frame.extend(records);
    frame
}

const OPTIONS: &str = "az=0\nbalancers=1\nclasses.count=1\nclasses.0.on_time_us=300000\n\
    classes.0.importance=1.0\nclasses.0.semantics=repeatable\nceilings.max_attempts=4\n\
    family_info.stream_kb_per_s=4000.0\nfamily_info.second_tier_kind=-1\nrules.cold_us=9000000\n\
    rules.start_capacity=0.25\nrules.overload_factor=4.0\nrules.tip_after_us=1000000\n\
    never.heard.of=this\n";

fn start_record(options: &str) -> Vec<u8> {
    let mut record = [1070u16.to_le_bytes(), 3u16.to_le_bytes()].concat();
    record.extend(7u64.to_le_bytes());
    record.extend((options.len() as u32).to_le_bytes());
    record.extend(options.as_bytes());
    record
}

fn arrival() -> Vec<u8> {
    let mut record = [1060u16.to_le_bytes(), 3u16.to_le_bytes()].concat();
    record.extend(5u64.to_le_bytes());
    record.extend(900_000u32.to_le_bytes());
    record.extend([0; 25]);
    record
}

fn expect_error(input: &[u8], message: &str) {
    let output = run_adapter(input);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(
        stderr.contains(message) && !stderr.contains("panicked"),
        "{stderr}"
    );
}

#[test]
fn empty_batches_are_answered_and_the_end_of_input_ends_it() {
    let output = run_adapter(&[batch(0, &[]), batch(0, &[])].concat());
    assert!(output.status.success());
    assert_eq!(output.stdout, [4, 0, 0, 0, 4, 0, 0, 0]);
}

#[test]
fn a_request_without_caches_is_refused_in_the_same_batch() {
    let records = [start_record(OPTIONS), arrival()].concat();
    let output = run_adapter(&batch(2, &records));
    assert!(output.status.success(), "{output:?}");
    let refusal = [1010u16.to_le_bytes(), 3u16.to_le_bytes()].concat();
    assert_eq!(
        output.stdout[..8],
        [[20, 0, 0, 0], refusal[..].try_into().unwrap()].concat()
    );
}

#[test]
fn an_ended_instance_sends_no_records() {
    let detach = [1050u16.to_le_bytes(), 3u16.to_le_bytes()].concat();
    let records = [start_record(OPTIONS), arrival(), detach].concat();
    let output = run_adapter(&batch(3, &records));
    assert_eq!(output.stdout, [4, 0, 0, 0]);
}

#[test]
fn malformed_input_ends_with_a_plain_message() {
    expect_error(&[1, 0, 0], "past the end");
    expect_error(&batch(3, &[0; 8]), "don't fit");
    expect_error(&batch(0, &[0; 8]), "left over");
    expect_error(&batch(1, &[9, 9, 3, 0]), "never started");
    expect_error(&batch(1, &start_record("az=0\n")), "is missing");
    let truncated = batch(1, &start_record(OPTIONS));
    expect_error(&truncated[..truncated.len() - 5], "input ends");
    let unknown = [start_record(OPTIONS), vec![9, 9, 3, 0]].concat();
    expect_error(&batch(2, &unknown), "unknown event code");
    let mut huge = batch(0, &[]);
    huge[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    expect_error(&huge, "bytes long");
    let mut list = [1010u16.to_le_bytes(), 3u16.to_le_bytes()].concat();
    list.extend([0; 9]);
    list.extend(u32::MAX.to_le_bytes());
    expect_error(
        &batch(2, &[start_record(OPTIONS), list].concat()),
        "past the end",
    );
}

#[test]
fn arbitrary_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..60 {
        let mut records = [start_record(OPTIONS), arrival(), arrival()].concat();
        for _ in 0..rng.usize(1..8) {
            let at = rng.usize(..records.len());
            records[at] = rng.u8(..);
        }
        let output = run_adapter(&batch(3, &records));
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            matches!(output.status.code(), Some(0 | 1)) && !stderr.contains("panicked"),
            "{stderr}"
        );
        let noise: Vec<u8> = (0..200).map(|_| rng.u8(..)).collect();
        let output = run_adapter(&batch(4, &noise));
        assert_eq!(output.status.code(), Some(1));
    }
}
