//! Detection of the final event in streams of server-sent events.

use entry::sse::Watch;

const STREAM: &[u8] = b"data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\n\n\
    : a comment\n\n\
    data: {\"choices\":[{\"delta\":{\"content\":\" tons\"}}]}\r\n\r\n\
    data: [DONE]\n\n";

/// Feeds pieces to the parser; returns the offset in the whole stream just after the final event.
fn feed(watch: &mut Watch, pieces: &[&[u8]]) -> Option<usize> {
    let mut before = 0;
    for piece in pieces {
        if let Some(end) = watch.feed(piece) {
            return Some(before + end);
        }
        before += piece.len();
    }
    None
}

#[test]
fn feed_whole_stream_finds_its_end_and_text() {
    let mut watch = Watch::default().with_text(1000);
    assert_eq!(feed(&mut watch, &[STREAM]), Some(STREAM.len()));
    assert_eq!(watch.into_text().as_deref(), Some("two tons"));
}

#[test]
fn feed_final_event_without_its_blank_line_is_done() {
    let mut watch = Watch::default();
    assert_eq!(feed(&mut watch, &[b"data: [DONE]\n"]), None);
    assert!(watch.done());
}

#[test]
fn feed_final_marker_inside_a_message_is_no_end() {
    // The final event's data does not end the stream when it is the text of a message, or when its
    // line does not begin with `data:`.
    let mut watch = Watch::default();
    let message =
        b"data: {\"choices\":[{\"delta\":{\"content\":\"[DONE]\"}}]}\n\n data: [DONE]\n\n";
    assert_eq!(feed(&mut watch, &[message]), None);
    assert!(!watch.done());
}

#[test]
fn feed_after_the_end_is_ignored() {
    let mut watch = Watch::default();
    assert_eq!(watch.feed(b"data: [DONE]\n\ndata: more\n\n"), Some(14));
    assert_eq!(watch.feed(b"data: more\n\n"), None);
}

#[test]
fn feed_cut_anywhere_finds_the_same_end() {
    fuzz::check(5_000, |cuts: &Vec<u8>| {
        let mut watch = Watch::default().with_text(1000);
        let mut rest = STREAM;
        let mut pieces = Vec::new();
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(*cut).min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        assert_eq!(feed(&mut watch, &pieces), Some(STREAM.len()));
        assert_eq!(watch.into_text().as_deref(), Some("two tons"));
    });
}

#[test]
fn feed_any_bytes_stays_in_bounds() {
    fuzz::check(20_000, |pieces: &Vec<Vec<u8>>| {
        let mut watch = Watch::default().with_text(8);
        for piece in pieces {
            let end = watch.feed(piece);
            assert!(end.is_none_or(|end| end <= piece.len()));
            assert!(end.is_none() || watch.done());
        }
        assert!(watch.into_text().is_some_and(|text| text.len() <= 8));
    });
}
