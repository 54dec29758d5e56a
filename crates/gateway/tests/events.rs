//! Streams of events that are cut into arbitrary pieces.

use bytes::Bytes;
use gateway::events::{EventSplitter, Fault};

fn stream(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

fn feed(splitter: &mut EventSplitter, text: &str) -> String {
    let (bytes, _) = splitter.feed(&Bytes::from(text.to_owned())).unwrap();
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn feed_half_event_is_kept() {
    let mut splitter = EventSplitter::default();
    assert_eq!(feed(&mut splitter, "id: 1\nda"), "");
    assert!(!splitter.is_empty());
    assert_eq!(splitter.last_id(), None);
    assert_eq!(feed(&mut splitter, "ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(!splitter.is_empty());
}

#[test]
fn feed_events_that_the_caller_has_are_dropped() {
    let mut splitter = EventSplitter::resume_after(Some(3));
    assert_eq!(feed(&mut splitter, &stream(1, 5)), stream(4, 5));
    assert_eq!(feed(&mut splitter, &stream(4, 6)), stream(6, 6));
}

#[test]
fn feed_counts_events() {
    let mut splitter = EventSplitter::resume_after(Some(2));
    assert_eq!(splitter.feed(&Bytes::from(stream(1, 5))).unwrap().1, 3);
}

#[test]
fn feed_event_without_id_is_passed_on() {
    let mut splitter = EventSplitter::resume_after(Some(2));
    assert_eq!(feed(&mut splitter, ": still there\n\n"), ": still there\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn feed_runaway_event() {
    let mut splitter = EventSplitter::default();
    let piece = Bytes::from(vec![b'x'; 40 << 10]);
    assert!(splitter.feed(&piece).is_ok());
    assert_eq!(splitter.feed(&piece), Err(Fault::TooLong));
}

/// Guards against a stream that sends bytes without end and never an event with a new number.
#[test]
fn feed_endless_events_without_a_number() {
    let mut splitter = EventSplitter::default();
    let piece = Bytes::from(": junk\n\n".repeat(8 << 10));
    let fed = (0..100).map(|_| splitter.feed(&piece)).find(Result::is_err);
    assert_eq!(fed, Some(Err(Fault::Unnumbered)));
    let numbered = Bytes::from("id: 1\ndata: a\n\n");
    let mut splitter = EventSplitter::default();
    for _ in 0..12 {
        splitter.feed(&piece).unwrap();
    }
    assert_eq!(splitter.feed(&numbered).unwrap().1, 1);
    assert!((0..12).all(|_| splitter.feed(&piece).is_ok()));
}

/// However a stream is cut into pieces, and wherever it breaks and resumes with some events that
/// the caller already has, each event comes once, whole and in order.
#[test]
fn feed_any_cut_any_resumption() {
    fuzz::check::<(Vec<u8>, u8, u8)>(2_000, |(cuts, breaks_at, repeats)| {
        let whole = stream(1, 20);
        let broken = &whole[..usize::from(*breaks_at) * whole.len() / 256];
        let mut splitter = EventSplitter::default();
        let mut got = feed_cut(&mut splitter, broken, cuts);
        let last = splitter.last_id().unwrap_or_default();
        let from = (last + 1).saturating_sub(u64::from(repeats % 4)).max(1);
        let mut splitter = EventSplitter::resume_after(splitter.last_id());
        got += &feed_cut(&mut splitter, &stream(from, 20), cuts);
        assert_eq!(got, whole);
        assert!(splitter.is_empty());
    });
}

fn feed_cut(splitter: &mut EventSplitter, text: &str, cuts: &[u8]) -> String {
    let mut got = String::new();
    let mut rest = text;
    for cut in cuts {
        let (piece, tail) = rest.split_at(usize::from(*cut).min(rest.len()));
        got += &feed(splitter, piece);
        rest = tail;
    }
    got + &feed(splitter, rest)
}
