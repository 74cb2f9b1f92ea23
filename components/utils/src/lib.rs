//! Small helpers for HTTP, identities and digests.

mod clock;
mod digest;
mod http;
mod id;
mod pool;
mod server;

pub use clock::wall_clock;
pub use digest::{hash_name, sha256_hex};
pub use http::{
    ChunkWriter, HttpError, body_text, client, delete_json, get_json, post_json, put_json,
    respond_json,
};
pub use id::random_id;
pub use pool::Pool;
pub use server::{HttpServer, listen};
