//! The requests that a crowd sends.

use hickorylink_standin::platform::{HOST, job_path};

use crate::crowd::Script;

/// The largest legal body at a gateway.
pub(crate) const GATEWAY_BODY: usize = 256 << 10;

/// The largest legal body at a controller.
pub(crate) const CONTROLLER_BODY: usize = 4 << 20;

/// The size of a small piece or chunk of a body.
pub(crate) const PIECE: usize = 512;

/// The path of a job that no test submits in an ordinary request.
pub(crate) fn crowd_path() -> String {
    job_path(0xc0de)
}

/// The end of a head.
const HEAD_END: &str = "\r\n\r\n";

/// The start of a head, up to and including the `Host` field, without the end of its line.
pub(crate) fn open_head(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}")
}

/// A head without a body.
pub(crate) fn head(method: &str, path: &str) -> String {
    format!("{}{HEAD_END}", open_head(method, path))
}

/// A head that announces a body of `length` bytes.
pub(crate) fn sized_head(method: &str, path: &str, length: usize) -> String {
    format!("{}\r\nContent-Length: {length}{HEAD_END}", open_head(method, path))
}

/// A request with a body.
pub(crate) fn request(method: &str, path: &str, body: &str) -> String {
    format!("{}{body}", sized_head(method, path, body.len()))
}

/// A body of `length` bytes that stops one byte before its end.
pub(crate) fn stalled_body(method: &str, path: &str, length: usize) -> Script {
    Script::new(sized_head(method, path, length)).end(vec![b' '; length - 1])
}

/// A body of `length` bytes, a multiple of [`PIECE`], in small chunks; stops one byte before the end of
/// the last chunk.
pub(crate) fn stalled_chunks(method: &str, path: &str, length: usize) -> Script {
    let mut chunk = format!("{PIECE:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + PIECE, b' ');
    chunk.extend(b"\r\n");
    Script::new(chunked_head(method, path)).repeat(chunk, length / PIECE).end("0\r\n\r")
}

/// The unit that is repeated in large bodies.
const UNIT: usize = 64 << 10;

/// A body that is announced far over every limit, of which `sent` bytes are sent.
pub(crate) fn endless_body(method: &str, path: &str, announced: usize, sent: usize) -> Script {
    let unit = vec![b' '; UNIT];
    Script::new(sized_head(method, path, announced)).repeat(unit, sent / UNIT)
}

/// A body over every limit in chunks, of which `sent` bytes are sent and which doesn't end.
pub(crate) fn endless_chunks(method: &str, path: &str, sent: usize) -> Script {
    let mut chunk = format!("{UNIT:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + UNIT, b' ');
    chunk.extend(b"\r\n");
    Script::new(chunked_head(method, path)).repeat(chunk, sent / UNIT)
}

fn chunked_head(method: &str, path: &str) -> String {
    format!("{}\r\nTransfer-Encoding: chunked{HEAD_END}", open_head(method, path))
}

/// The number of short fields that are sent in one piece.
const FIELDS: usize = 400;

/// A head with `count` short fields, a multiple of [`FIELDS`], without its end.
pub(crate) fn wide_head(method: &str, path: &str, count: usize) -> Script {
    let start = format!("{}\r\n", open_head(method, path));
    Script::new(start).repeat("a:b\r\n".repeat(FIELDS), count / FIELDS)
}

/// The number of pipelined requests that are sent in one piece.
const PIPELINED: usize = 50;

/// `count` pipelined requests, a multiple of [`PIPELINED`].
pub(crate) fn pipelined(request: &str, count: usize) -> Script {
    Script::new("").repeat(request.repeat(PIPELINED), count / PIPELINED)
}

/// A submission with `count` empty steps, of which none is valid.
pub(crate) fn empty_steps(count: usize) -> String {
    let steps = vec!["{}"; count].join(",");
    request("POST", &crowd_path(), &format!("{{\"spec\":\"s\",\"steps\":[{steps}]}}"))
}

/// A submission with `count` short fields of which none is known.
pub(crate) fn short_fields(count: usize) -> String {
    let fields: String = (0..count).map(|at| format!("\"{at:05}\":1,")).collect();
    let body = format!("{{{fields}\"spec\":\"s\",\"steps\":[{{}}]}}");
    request("POST", &crowd_path(), &body)
}

/// A JSON text with spaces after it, so that it has `size` bytes.
pub(crate) fn padded(mut text: String, size: usize) -> String {
    let spaces = size.saturating_sub(text.len());
    text.extend(std::iter::repeat_n(' ', spaces));
    text
}
