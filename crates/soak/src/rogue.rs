//! Clients that misbehave: halves of messages, garbage, floods, floods of cancels, and none that stays to hear.

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

/// Requests that one of them sends at once.
const FLOOD: u64 = 40;

/// None of them takes longer to write a request.
const SLOWEST_WRITE: TimeSpan = TimeSpan::from_secs(2);

/// What the requests of one are made of.
#[derive(Clone)]
pub struct Model {
    pub class: String,
    pub wish: Wish,
    pub allow: Duration,
    /// Its requests are numbered from here.
    pub first_reference: u64,
    pub dispatcher: usize,
}

/// One connection of one of them.
pub async fn visit(address: SocketAddr, model: Model, oracle: Rc<Oracle>, mut chance: Rng) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let stays = Duration::from_millis(chance.u64(0..300));
    match chance.u8(..5) {
        0 => {
            let bytes = model.request(1, &oracle);
            let _ = stream.write_all(&bytes[..bytes.len() / 2]).await;
            sleep(stays).await;
            oracle.left(model.first_reference);
        }
        1 => {
            let garbage: Vec<u8> = (0..chance.usize(1..2_000)).map(|_| chance.u8(..)).collect();
            let _ = stream.write_all(&garbage).await;
            sleep(stays).await;
        }
        2 => model.flood(stream, &oracle, stays, true).await,
        3 => model.flood(stream, &oracle, stays, false).await,
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
    /// Sends many at once and goes, by a reset or in order.
    async fn flood(&self, mut stream: TcpStream, oracle: &Oracle, stays: Duration, reset: bool) {
        let all: Vec<u8> = (1..=FLOOD).flat_map(|n| self.request(n, oracle)).collect();
        let _ = stream.write_all(&all).await;
        sleep(stays).await;
        if reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        drop(stream);
        (0..FLOOD).for_each(|nth| oracle.left(self.first_reference + nth));
    }

    /// A request of it; no answer to it is owed, as its connection is no honest one.
    fn request(&self, number: u64, oracle: &Oracle) -> Vec<u8> {
        let reference = self.first_reference + number - 1;
        oracle.asks(Asking {
            reference,
            class: self.wish.track,
            object: self.wish.object,
            group: self.wish.group,
            kb: self.wish.kb,
            dispatcher: self.dispatcher,
            // Its time counts from the last byte, and some write slowly.
            deadline: oracle.now() + TimeSpan(self.allow.as_micros() as u64) + SLOWEST_WRITE,
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
