use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::routed_request::RoutedRequest;
use decision::Millis;
use decision::routing::{Content, Judgement, Prompt};
use std::collections::BTreeSet;

/// The contents of a request by which it may be kept from endpoints: the prompt parts that others
/// share, the last one if there is evidence about it, and the digest of the whole request, which is
/// computed only while there is evidence against one to the same service.
pub(crate) fn contents<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
) -> BTreeSet<Content> {
    let quarantine = gateway.quarantine.borrow();
    let service = &request.service;
    let digest = quarantine.watches_requests(service).then(|| Content::Request(request.digest()));
    let own_part = request.prompt.as_ref().and_then(Prompt::own_part);
    let own_part = own_part.filter(|part| quarantine.knows(service, *part));
    request.prompt.iter().flat_map(Prompt::contents).chain(own_part).chain(digest).collect()
}

/// Whether an endpoint crashed under a request with a content of this one.
pub(crate) fn has_evidence<A: Adapter>(gateway: &Gateway<A>, request: &RoutedRequest) -> bool {
    let contents = contents(gateway, request);
    gateway.quarantine.borrow().has_evidence(&request.service, &contents)
}

/// Decides whether a request may be sent to an endpoint.
pub(crate) fn judge<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    now: Millis,
) -> Judgement {
    if !gateway.quarantine.borrow().watches(&request.service) {
        return Judgement::Admitted;
    }
    let contents = contents(gateway, request);
    gateway.quarantine.borrow().judge(&request.service, &contents, now)
}

/// Waits until a request may no longer be sent to endpoints; forever if that does not happen.
pub(crate) async fn condemned<A: Adapter>(gateway: &Gateway<A>, request: &RoutedRequest) {
    loop {
        gateway.quarantine_changed.notified().await;
        if matches!(judge(gateway, request, now()), Judgement::Condemned(_)) {
            return;
        }
    }
}

/// Formats contents for a log line, separated by commas.
pub(crate) fn content_list(contents: &[Content]) -> String {
    let contents: Vec<String> = contents.iter().map(Content::to_string).collect();
    contents.join(",")
}
