//! Helpers for HTTP, thread pools, random ids, digests and the wall clock.

mod clock;
mod digest;
mod http;
mod id;
mod server;
mod thread_pool;

pub use clock::unix_time_ms;
pub use digest::{hash_name, sha256_hex};
pub use http::{
    ChunkWriter, HttpError, body_text, delete_json, get_json, post_json, prepare_request, put_json,
    respond_json, response_text,
};
pub use id::random_id;
pub use server::{HttpServer, listen};
pub use thread_pool::ThreadPool;
