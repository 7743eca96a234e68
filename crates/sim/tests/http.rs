//! HTTP parser of the simulated peers.

use runtrack_sim::http::{MalformedMessage, Reader};

#[test]
fn messages_and_offsets_do_not_depend_on_read_sizes() {
    let text = b"POST /a HTTP/1.1\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n";
    for piece in 1..text.len() {
        let (mut reader, mut found) = (Reader::default(), Vec::new());
        for bytes in text.chunks(piece) {
            reader.feed(bytes);
            while let Some(message) = reader.next_message().expect("messages") {
                found.push(message);
            }
        }
        assert_eq!(found.len(), 2, "in pieces of {piece}");
        assert_eq!((found[0].header("x-id"), &found[0].body[..]), (Some("7"), &b"abc"[..]));
        assert_eq!((found[0].at.1, found[1].at), (found[1].at.0, (found[1].at.0, text.len() as u64)));
        assert!(!reader.has_partial_message());
    }
}

#[test]
fn malformed_messages_are_rejected() {
    for bad in [&b"x\r\nno colon\r\n\r\n"[..], b"\xff\r\n\r\n", b"a b\r\nContent-Length: -1\r\n\r\n"] {
        let mut reader = Reader::default();
        reader.feed(bad);
        assert_eq!(reader.next_message(), Err(MalformedMessage));
    }
}
