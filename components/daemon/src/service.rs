use crate::attempt::Shell;
use crate::callers::{permit, read_body};
use crate::reply::respond_refusal;
use crate::tables::{lock, lock_read};
use decision::load::EndpointState;
use errors::{Reason, Refusal, Verdict};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tiny_http::{Request, Response};
use utils::{HttpError, client};

const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves a call to a plain service.
pub fn serve_call(shell: &Shell, mut req: Request) -> io::Result<()> {
    let (number, id) = shell.tables.new_request();
    match call(shell, &mut req, number, &id) {
        Ok((status, text)) => req.respond(Response::from_string(text).with_status_code(status)),
        Err(refusal) => respond_refusal(req, &id, &refusal),
    }
}

fn call(shell: &Shell, req: &mut Request, number: u64, id: &str) -> Result<(u16, String), Refusal> {
    let in_force = shell.tables.lists();
    let arrival = permit(&shell.tables, &in_force, req)?.arrival(number, "");
    let body = read_body(&shell.tables, req)?;
    let Some(address) = service_address(shell, &arrival.serves) else {
        let text = format!("no endpoint serves {}", arrival.serves);
        return Err(Refusal::not_run(Reason::NoEndpoint, text).retry_after(1_000));
    };
    send_call(address, id, &body)
}

fn service_address(shell: &Shell, service: &str) -> Option<SocketAddr> {
    let addresses = lock_read(&shell.tables.addresses);
    let scheduler = lock(&shell.tables.scheduler);
    let found = scheduler
        .endpoints()
        .values()
        .find(|e| e.state == EndpointState::Live && e.info.serves.contains(service))?;
    addresses.get(&found.info.name).copied()
}

fn send_call(address: SocketAddr, id: &str, body: &str) -> Result<(u16, String), Refusal> {
    let url = format!("http://{address}/call");
    let failed = |text: String| Refusal::may_have_run(Reason::EndpointFailed, text);
    let sent =
        client(attohttpc::post(&url), SERVICE_TIMEOUT).header("x-request-id", id).text(body).send();
    let res = match sent {
        Ok(res) => res,
        Err(source) => {
            let e = HttpError::Exchange { url, source };
            let refusal = failed(e.to_string());
            let verdict = if e.is_unsent() { Verdict::NotRun } else { Verdict::MayHaveRun };
            return Err(Refusal { verdict, ..refusal });
        }
    };
    let status = res.status().as_u16();
    let text = res.text().map_err(|e| failed(e.to_string()))?;
    Ok((status, text))
}
