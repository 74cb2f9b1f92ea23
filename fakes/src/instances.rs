use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use tiny_http::Method;
use utils::{body_text, listen, respond_json};

/// Serves the list of instances; a POST replaces it.
pub fn run_instances(address: SocketAddr) -> io::Result<()> {
    let server = listen(address, None)?;
    println!("listening {}", server.server_addr());
    let mut list = json!({"instances": []});
    for mut req in server.incoming_requests() {
        if *req.method() == Method::Post {
            let body = body_text(&mut req, 1 << 20)?.unwrap_or_default();
            list = serde_json::from_str(&body).unwrap_or(Value::Null);
        }
        respond_json(req, 200, &list)?;
    }
    Ok(())
}
