//! Clients that misbehave: they send half a message, garbage, a flood of requests that ends in order or by a reset, or
//! a request one byte at a time, and leave without waiting for an answer.

use crate::client::{Behaviour, Question, encode};
use crate::oracle::{Asking, Oracle};
use fastrand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use trailproxy::units::TimeSpan;
use trailproxy_lab::traffic::Wish;

/// Requests that one flood sends at once.
const FLOOD_REQUESTS: u64 = 40;

/// Longest time that a misbehaving client takes to write a request.
const MAX_WRITE_TIME: TimeSpan = TimeSpan::from_secs(2);

/// The template of the requests of one misbehaving client.
#[derive(Clone)]
pub struct Model {
    /// The name of the requests' class.
    pub class: String,
    /// The object that is requested, and its size.
    pub wish: Wish,
    /// The time that the requests allow for their answers.
    pub allow: Duration,
    /// The reference of its first request; the others follow it.
    pub first_reference: u64,
    /// Index of the dispatcher that it connects to.
    pub dispatcher: usize,
}

/// Opens one connection and misbehaves on it in one of five ways, drawn at random.
pub async fn visit(address: SocketAddr, model: Model, oracle: Rc<Oracle>, mut rng: Rng) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let stay_open = Duration::from_millis(rng.u64(0..300));
    match rng.u8(..5) {
        0 => {
            let bytes = model.request(1, &oracle);
            let _ = stream.write_all(&bytes[..bytes.len() / 2]).await;
            sleep(stay_open).await;
            oracle.left(model.first_reference);
        }
        1 => {
            let garbage: Vec<u8> = (0..rng.usize(1..2_000)).map(|_| rng.u8(..)).collect();
            let _ = stream.write_all(&garbage).await;
            sleep(stay_open).await;
        }
        2 => model.flood(stream, &oracle, stay_open, true).await,
        3 => model.flood(stream, &oracle, stay_open, false).await,
        _ => {
            // One byte at a time.
            for byte in model.request(1, &oracle) {
                if stream.write_all(&[byte]).await.is_err() {
                    break;
                }
                sleep(Duration::from_millis(1)).await;
            }
            drop(stream);
            oracle.left(model.first_reference);
        }
    }
}

impl Model {
    /// Sends many requests at once and closes the connection, by a reset or in order.
    async fn flood(
        &self,
        mut stream: TcpStream,
        oracle: &Oracle,
        stay_open: Duration,
        reset: bool,
    ) {
        let all: Vec<u8> = (1..=FLOOD_REQUESTS)
            .flat_map(|n| self.request(n, oracle))
            .collect();
        let _ = stream.write_all(&all).await;
        sleep(stay_open).await;
        if reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        drop(stream);
        (0..FLOOD_REQUESTS).for_each(|index| oracle.left(self.first_reference + index));
    }

    /// Encodes a request and registers it with the oracle. No answer to it is required, as its client misbehaves.
    fn request(&self, number: u64, oracle: &Oracle) -> Vec<u8> {
        let reference = self.first_reference + number - 1;
        oracle.asks(Asking {
            reference,
            class: self.wish.track,
            object: self.wish.object,
            group: self.wish.group,
            kb: self.wish.kb,
            dispatcher: self.dispatcher,
            // The allowed time counts from the last byte, and some of these clients write slowly.
            deadline: oracle.now() + TimeSpan(self.allow.as_micros() as u64) + MAX_WRITE_TIME,
        });
        oracle.excused(reference);
        let question = Question {
            class: &self.class,
            wish: self.wish,
            reference,
            allow: self.allow,
            key: None,
            body: 0,
            behaviour: Behaviour::Waits,
        };
        encode(number, &question)
    }
}
