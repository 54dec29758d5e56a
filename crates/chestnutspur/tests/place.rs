//! `chestnutspur where`: the table for people, and the exit codes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

fn chestnutspur(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chestnutspur")).args(arguments).output().unwrap()
}

/// Serves one answer to one question.
fn serve(status: &str, body: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let length = body.len();
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let (mut read, mut buffer) = (Vec::new(), [0; 1_024]);
        while !read.ends_with(b"}") {
            let count = stream.read(&mut buffer).unwrap();
            read.extend_from_slice(&buffer[..count]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

/// Guards against an unknown route that passes for an answer, and against a faulty question that is
/// sent.
#[test]
fn where_prints_a_table_or_says_what_is_wrong() {
    let found = r#"{"route":"r","chosen":"b1","through":"host-2","falls_back_from":"v2",
        "candidates":[{"id":"b1","version":"v1","total":12.34}]}"#;
    let address = serve("200 OK", found).to_string();
    let mut question = vec!["where", "--at", &address, "--host", "h", "--path", "/x"];
    question.extend(["--session", "s", "--on-version", "v1", "--last-event", "3"]);
    let output = chestnutspur(&question);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(text.contains("chosen     b1\n") && text.contains("     12.3"), "{text}");
    for part in ["through    host-2\n", "falls back from v2\n", " v1 "] {
        assert!(text.contains(part), "{part}: {text}");
    }

    let address = serve("404 Not Found", r#"{"error":"no route"}"#).to_string();
    let output = chestnutspur(&["where", "--at", &address, "--host", "h"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("no route"));

    for question in [&["--host", "h", "--parts", "7:x"][..], &["--path", "/x"]] {
        let arguments = [&["where", "--at", "127.0.0.1:1"], question].concat();
        assert_eq!(chestnutspur(&arguments).status.code(), Some(2), "{question:?}");
    }
}
