//! The end of a response body that is sent piece by piece.

use bytes::Bytes;
use gateway::{StreamBody, StreamWriter, stream_body};
use http::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Serves one connection with a response body whose writer is handled by `write`.
async fn serve(listener: TcpListener, write: impl AsyncFn(StreamWriter)) {
    let (stream, _) = listener.accept().await.unwrap();
    let respond = async |_| {
        let (writer, body) = stream_body(8);
        write(writer).await;
        Ok::<Response<StreamBody>, Infallible>(Response::new(body))
    };
    // The connection ends with an error if the body is truncated.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(respond))
        .await
        .inspect_err(|e| println!("{e}"));
}

fn read_response(address: SocketAddr) -> String {
    let mut client = TcpStream::connect(address).unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    text
}

/// The bytes that a client receives of a response body whose writer is handled by `write`.
fn response_bytes(write: impl AsyncFn(StreamWriter)) -> String {
    let rt = Builder::new_current_thread().enable_io().build().unwrap();
    rt.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = thread::spawn(move || read_response(address));
        serve(listener, write).await;
        client.join().unwrap()
    })
}

#[test]
fn closed_body_is_complete() {
    let text = response_bytes(async |writer| {
        assert!(writer.send(Bytes::from("one")).await);
        writer.close();
    });
    assert!(text.contains("one") && text.ends_with(LAST_CHUNK), "{text}");
}

#[test]
fn body_whose_writer_is_dropped_is_not_completed() {
    let text = response_bytes(async |writer| {
        assert!(writer.send(Bytes::from("one")).await);
    });
    assert!(!text.ends_with(LAST_CHUNK), "{text}");
}

#[test]
fn pieces_before_a_truncation_are_sent() {
    let text = response_bytes(async |writer| {
        assert!(writer.send(Bytes::from("one")).await);
        assert!(writer.send(Bytes::from("two")).await);
    });
    assert!(text.contains("one") && text.contains("two"), "{text}");
}
