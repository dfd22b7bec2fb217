//! A request that its client has revoked is not open any more, whatever has become of its answer.

#[allow(dead_code, reason = "other test files use the rest")]
mod harness;
#[allow(dead_code, reason = "other test files use the rest")]
mod socket_queues;

use harness::{Client, Cluster, FinalAnswer, HostMessage, wait_for};
use socket_queues::unread_bytes_from;
use std::collections::BTreeMap;

/// The most requests that a connection may have open.
const MAX_OPEN: u64 = 32;
/// How long the client waits at most.
const ALLOWED_MS: u64 = 20_000;

/// Sends as many requests as may be open, and returns their numbers with what the hosts received.
fn ask_for_all(cluster: &Cluster, client: &mut Client, first: u64) -> (Vec<u64>, Vec<HostMessage>) {
    (first..first + MAX_OPEN)
        .map(|object| {
            let number = client.request("image", object, ALLOWED_MS);
            (number, cluster.next_request())
        })
        .unzip()
}

/// Answers requests, and waits until the daemon has read all answers.
fn answer_all(cluster: &Cluster, requests: &[HostMessage], body: &[u8]) {
    requests.iter().for_each(|request| request.answer_hit(body));
    wait_for("all answers are read", || {
        let hosts = cluster.addresses.values();
        hosts.map(|&host| unread_bytes_from(host)).sum::<u64>() == 0
    });
}

/// Guards against counting answers that are not written yet, but that the client has revoked, as open requests: a client
/// with as many open requests as the protocol allows would be closed as having too many.
#[test]
fn revoked_answers_that_are_not_written_do_not_count_as_open() {
    const HEARTBEATS: u64 = MAX_OPEN;
    let cluster = Cluster::with_config(|config, _| {
        let image = &mut config["settings"]["classes"][0];
        image["on_time_us"] = (ALLOWED_MS * 1_000).into();
        image["hard_limit_us"] = (ALLOWED_MS * 1_000).into();
    });
    let mut client = cluster.client();
    // The system takes some 4 MB of these 7.7 MB. The rest waits in the daemon, one answer written in part.
    let (numbers, requests) = ask_for_all(&cluster, &mut client, 0);
    answer_all(&cluster, &requests, &[7; 240_000]);
    numbers.iter().for_each(|&number| client.revoke(number));
    // Small answers wait behind them.
    for round in 1..4 {
        let (numbers, requests) = ask_for_all(&cluster, &mut client, round * MAX_OPEN);
        answer_all(&cluster, &requests, b"revoked");
        numbers.iter().for_each(|&number| client.revoke(number));
    }
    let heartbeats: Vec<u64> = (0..HEARTBEATS)
        .map(|_| client.request_with("heartbeat", vec![], &[]))
        .collect();
    let (numbers, requests) = ask_for_all(&cluster, &mut client, 4 * MAX_OPEN);
    answer_all(&cluster, &requests, b"open");
    let mut answers: BTreeMap<u64, FinalAnswer> = BTreeMap::new();
    let expected = |number: &u64| numbers.contains(number) || heartbeats.contains(number);
    while answers.keys().filter(|number| expected(number)).count()
        < (MAX_OPEN + HEARTBEATS) as usize
    {
        let (number, answer) = client.next_answer();
        assert!(answers.insert(number, answer).is_none(), "a second answer");
    }
    for number in numbers {
        assert_eq!(answers[&number], FinalAnswer::done(b"open"));
    }
}
