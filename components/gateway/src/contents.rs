use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::routed_request::RoutedRequest;
use decision::Millis;
use decision::routing::{Content, Judgement, Prompt};
use std::collections::BTreeSet;

/// The contents of a request by which it may be kept from endpoints. The digest of the whole request
/// is computed only while there is evidence against one to the same service.
pub(crate) fn contents<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
) -> BTreeSet<Content> {
    let is_watched = gateway.quarantine.borrow().watches_requests(&request.service);
    let digest = is_watched.then(|| Content::Request(request.digest()));
    request.prompt.iter().flat_map(Prompt::contents).chain(digest).collect()
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
