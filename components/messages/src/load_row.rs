use crate::feed::{EndpointLoad, LoadRow};

impl From<EndpointLoad> for LoadRow {
    fn from(load: EndpointLoad) -> LoadRow {
        let EndpointLoad { endpoint, priority, running, unread_tokens, held_tokens, interactive } =
            load;
        LoadRow((endpoint, priority, running, unread_tokens, held_tokens, interactive))
    }
}

impl From<LoadRow> for EndpointLoad {
    fn from(row: LoadRow) -> EndpointLoad {
        let (endpoint, priority, running, unread_tokens, held_tokens, interactive) = row.0;
        EndpointLoad { endpoint, priority, running, unread_tokens, held_tokens, interactive }
    }
}

/// Encodes loads for another daemon.
pub fn load_rows(loads: Vec<EndpointLoad>) -> Vec<LoadRow> {
    loads.into_iter().map(LoadRow::from).collect()
}

/// Decodes the loads that another daemon sent.
pub fn endpoint_loads(rows: Vec<LoadRow>) -> Vec<EndpointLoad> {
    rows.into_iter().map(EndpointLoad::from).collect()
}
