//! Tests of the parsers and of the ring buffer: every split of the input, every limit, and arbitrary bytes.

mod http {
    use trailproxyd::http::*;

    fn read(pieces: &[&[u8]]) -> Result<Vec<u8>, MalformedResponse> {
        let (mut response, mut body) = (Response::default(), Vec::new());
        for piece in pieces {
            response.feed(piece, &mut body)?;
        }
        Ok(body)
    }

    const CHUNKED: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x\r\nd\r\ne\r\n0\r\n\r\n";
    const PLAIN: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nabcd\r\ne";
    const SIZED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nabcd\r\neXYZ";

    /// Guards against a parser that depends on how the response is split into packets.
    #[test]
    fn every_split_gives_the_same_body() {
        for whole in [CHUNKED, PLAIN, SIZED] {
            for split_at in 0..=whole.len() {
                let (a, b) = whole.split_at(split_at);
                assert_eq!(read(&[a, b]).expect("sound"), b"abcd\r\ne");
            }
        }
    }

    /// Guards against a panic on a corrupted response: bytes of a valid one are replaced at random.
    #[test]
    fn another_status_is_malformed_and_arbitrary_bytes_never_panic() {
        assert!(read(&[b"HTTP/1.1 503 No\r\n\r\n"]).is_err());
        let mut rng = fastrand::Rng::with_seed(13);
        for _ in 0..20_000 {
            let mut bytes = CHUNKED.to_vec();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(0..bytes.len());
                bytes[at] = rng.u8(..);
            }
            let _ = read(&[&bytes]);
        }
    }
}

mod msgpack {
    use trailproxyd::msgpack::*;

    fn sample() -> Vec<u8> {
        let mut out = Vec::new();
        put_array(&mut out, 4);
        put_int(&mut out, 0);
        put_int(&mut out, 70_000);
        put_text(&mut out, &"long".repeat(10));
        put_array(&mut out, 5);
        put_map(&mut out, &[("ref", "9b1f"), ("allow", "1500")]);
        put_bin_head(&mut out, 300);
        out.extend([7; 300]);
        put_nil(&mut out);
        put_bool(&mut out, true);
        put_int(&mut out, 200);
        out
    }

    /// A message cut off anywhere must ask for more bytes than there are, but not for more than the message has: the
    /// connection would wait for ever.
    #[test]
    fn an_incomplete_message_reports_a_sound_minimum_length() {
        let whole = sample();
        for split_at in 0..whole.len() {
            match read(&whole[..split_at], 1000) {
                Err(ParseError::Incomplete(min_bytes)) => {
                    assert!(split_at < min_bytes && min_bytes <= whole.len())
                }
                other => panic!("{other:?} at {split_at}"),
            }
        }
        let (value, n) = read(&whole, 1000).expect("whole");
        assert_eq!(n, whole.len());
        let Value::Array(items) = value else {
            panic!("an array")
        };
        assert_eq!(items[1], Value::Int(70_000));
        assert!(matches!(&items[3], Value::Array(inner) if inner[1] == Value::Bytes(&[7; 300])));
    }

    /// Guards against a length that is wrong for a message whose body is skipped, and against taking a message for
    /// complete that goes on behind the binary that is cut off.
    #[test]
    fn only_the_last_binary_of_a_message_may_be_cut_off() {
        let mut whole = Vec::new();
        put_array(&mut whole, 2);
        put_int(&mut whole, 7);
        put_bin_head(&mut whole, 300);
        let head_length = whole.len();
        whole.extend([7; 300]);
        for split_at in 0..head_length {
            let cut = read_without_last_binary(&whole[..split_at], 1000);
            assert!(matches!(cut, Err(ParseError::Incomplete(_))));
        }
        for split_at in head_length..whole.len() {
            let (value, n) = read_without_last_binary(&whole[..split_at], 1000).expect("a head");
            let items = vec![Value::Int(7), Value::Bytes(&[])];
            assert_eq!((value, n), (Value::Array(items), whole.len()));
        }
        let sample = sample();
        let goes_on = read_without_last_binary(&sample[..sample.len() - 100], 1000);
        assert!(matches!(goes_on, Err(ParseError::Incomplete(_))));
    }

    /// Guards against unbounded memory or recursion by a length, a nesting or a type that is not allowed.
    #[test]
    fn messages_over_a_limit_are_malformed() {
        let is_malformed =
            |bytes: &[u8]| matches!(read(bytes, 1000), Err(ParseError::Malformed(_)));
        assert!(is_malformed(&[0xc6, 0xff, 0xff, 0xff, 0xff]));
        assert!(is_malformed(&[0x91; 20]));
        assert!(is_malformed(&[0xc1]));
    }

    /// Guards against a panic on corrupted messages: bytes of a valid message are replaced at random.
    #[test]
    fn arbitrary_bytes_never_panic() {
        let mut rng = fastrand::Rng::with_seed(11);
        for _ in 0..20_000 {
            let mut bytes = sample();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(0..bytes.len());
                bytes[at] = rng.u8(..);
            }
            if let Ok((_, n)) = read(&bytes, 1000) {
                assert!(n <= bytes.len());
            }
        }
    }
}

mod resp {
    use trailproxyd::msgpack::ParseError;
    use trailproxyd::resp::*;

    fn sample() -> Vec<u8> {
        let mut out = Vec::new();
        put_array(&mut out, 4);
        for word in [&b"9b1f03aa"[..], b"data", b"tag=1,minted=2", &[b'\r'; 300]] {
            put_word(&mut out, word);
        }
        out
    }

    /// An array cut off anywhere must ask for more bytes than there are, but not for more than the array has.
    #[test]
    fn an_incomplete_array_reports_a_sound_minimum_length() {
        let whole = sample();
        for split_at in 0..whole.len() {
            match read(&whole[..split_at], 4, 300) {
                Err(ParseError::Incomplete(min_bytes)) => {
                    assert!(split_at < min_bytes && min_bytes <= whole.len())
                }
                other => panic!("{other:?} at {split_at}"),
            }
        }
        let (words, n) = read(&whole, 4, 300).expect("whole");
        assert_eq!(
            (n, words[1], words[3].len()),
            (whole.len(), &b"data"[..], 300)
        );
    }

    /// Guards against accepting other RESP types, and lengths that are negative, too large or without an end.
    #[test]
    fn other_input_than_an_array_of_strings_is_malformed() {
        for bytes in [
            &b"+OK\r\n"[..],
            b"*0\r\n",
            b"*5\r\n",
            b"*1\r\n$-1\r\n",
            b"*1\r\n$301\r\n",
        ] {
            assert!(matches!(read(bytes, 4, 300), Err(ParseError::Malformed(_))));
        }
        assert!(matches!(
            read(b"*1\r\n$1\r\nabc", 4, 300),
            Err(ParseError::Malformed(_))
        ));
        assert!(matches!(
            read(&[b'*'; 20], 4, 300),
            Err(ParseError::Malformed(_))
        ));
    }

    /// Guards against a panic on corrupted arrays: bytes of a valid array are replaced at random.
    #[test]
    fn arbitrary_bytes_never_panic() {
        let mut rng = fastrand::Rng::with_seed(12);
        for _ in 0..20_000 {
            let mut bytes = sample();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(0..60);
                bytes[at] = rng.u8(..);
            }
            if let Ok((_, n)) = read(&bytes, 4, 300) {
                assert!(n <= bytes.len());
            }
        }
    }
}

mod ring {
    use trailproxyd::memory::{MemoryAccount, MemoryUse};
    use trailproxyd::ring::{MIN_CAPACITY_BYTES, Ring};

    /// Guards against reordered bytes when the content wraps around, and against memory that stays allocated after a
    /// large message.
    #[test]
    fn bytes_keep_their_order_and_memory_is_released() {
        let account = MemoryAccount::unlimited();
        let mut ring = Ring::new(&account, MemoryUse::Answers);
        let mut rng = fastrand::Rng::with_seed(5);
        let (mut put, mut got) = (0u64, 0u64);
        for _ in 0..2000 {
            let piece: Vec<u8> = (0..rng.usize(0..9000))
                .map(|i| (put + i as u64) as u8)
                .collect();
            ring.push(&piece);
            put += piece.len() as u64;
            let n = rng.usize(0..=ring.len());
            let (first, second) = ring.as_slices();
            let both: Vec<u8> = first.iter().chain(second).copied().collect();
            assert_eq!(
                both,
                ring.as_contiguous(),
                "the same content in one slice or two"
            );
            for &byte in &both[..n] {
                assert_eq!(byte, got as u8);
                got += 1;
            }
            ring.consume(n);
        }
        ring.push(&[0; 300_000]);
        ring.consume(ring.len());
        ring.release_memory(false);
        assert!(account.used(MemoryUse::Answers) <= MIN_CAPACITY_BYTES);
        ring.release_memory(true);
        assert_eq!(account.used(MemoryUse::Answers), 0);
    }

    /// Guards against a buffer that grows past the memory limit, and against one that can't hold a short message then.
    #[test]
    fn a_buffer_grows_beyond_its_minimum_only_as_memory_allows() {
        let account = MemoryAccount::new(0);
        let mut ring = Ring::new(&account, MemoryUse::Requests);
        assert!(ring.try_reserve(MIN_CAPACITY_BYTES));
        assert!(!ring.try_reserve(MIN_CAPACITY_BYTES + 1));
        assert_eq!(ring.capacity(), MIN_CAPACITY_BYTES);
        assert!(account.try_charge(MemoryUse::Requests, 1).is_none());
    }
}

mod outgoing {
    use trailproxyd::memory::MemoryAccount;
    use trailproxyd::outgoing::OutgoingBytes;

    /// Guards against reordered, lost and repeated bytes where a body is written from where it is kept, for every length
    /// of what the socket accepts.
    #[test]
    fn a_body_is_written_between_its_head_and_its_end() {
        let body: Vec<u8> = (0..5_000u32).map(|n| n as u8).collect();
        let whole = [b"head", &body[..], b"end"].concat();
        for accepted in [1, 2, 3, 4, 5, 999, 4_096, 10_000] {
            let mut outgoing = OutgoingBytes::new(&MemoryAccount::unlimited());
            outgoing.push(b"head");
            outgoing.push_body(body.clone(), b"end");
            let mut written: Vec<u8> = Vec::new();
            while !outgoing.is_empty() {
                assert_eq!(outgoing.len(), whole.len() - written.len());
                let rest: Vec<u8> = outgoing
                    .parts()
                    .iter()
                    .flat_map(|part| part.to_vec())
                    .collect();
                let n = accepted.min(rest.len());
                written.extend(&rest[..n]);
                outgoing.consume(n);
            }
            assert_eq!(written, whole);
        }
    }
}

mod sse {
    use trailproxyd::sse::*;

    fn read(pieces: &[&[u8]]) -> Vec<(String, String)> {
        let (mut parser, mut events) = (EventParser::default(), Vec::new());
        for piece in pieces {
            parser.feed(piece, &mut events).expect("bounded");
        }
        events
            .into_iter()
            .map(|event| (event.id, event.data))
            .collect()
    }

    /// Guards against a parser that depends on how the stream is split into packets.
    #[test]
    fn every_split_gives_the_same_events() {
        let whole = b": hello\r\n\r\nid: 41\r\ndata: {\"a\":1,\r\ndata: 2}\r\n\r\n:\n\nid:42\ndata:x\n\nid: 43\ndata: cut";
        let wanted = read(&[whole]);
        let pair = |id: &str, data: &str| (id.to_owned(), data.to_owned());
        assert_eq!(wanted, [pair("41", "{\"a\":1,\n2}"), pair("42", "x")]);
        for split_at in 0..whole.len() {
            let (a, b) = whole.split_at(split_at);
            assert_eq!(read(&[a, b]), wanted);
        }
    }

    /// Guards against unbounded memory when a service sends an event that never ends.
    #[test]
    fn an_event_without_an_end_is_an_error() {
        let (mut parser, mut events) = (EventParser::default(), Vec::new());
        let piece = vec![b'x'; MAX_EVENT_BYTES / 2 + 1];
        assert_eq!(parser.feed(&piece, &mut events), Ok(()));
        assert_eq!(parser.feed(&piece, &mut events), Err(EventTooLong));
    }
}
