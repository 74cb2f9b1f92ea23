/// By how much the ids of consecutive events differ.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Step {
    #[default]
    Unknown,
    Constant(u64),
    Varies,
}

/// The order of the events of one response, by their ids. It shows whether the stream of another
/// endpoint goes on after the last event. Ids that are not numbers show nothing.
#[derive(Clone, Debug, Default)]
pub struct EventOrder {
    last: Option<u64>,
    step: Step,
}

impl EventOrder {
    /// The order of a stream that goes on after the event `last`.
    pub fn after(last: Option<&str>) -> EventOrder {
        let last = last.and_then(|last| last.trim().parse().ok());
        EventOrder { last, step: Step::Unknown }
    }

    /// Records complete events that were forwarded.
    pub fn record(&mut self, events: &[u8]) {
        for id in lines(events).filter_map(event_id) {
            let Ok(id) = id.parse::<u64>() else {
                *self = EventOrder { last: None, step: Step::Varies };
                continue;
            };
            if let Some(last) = self.last {
                let step = id.checked_sub(last).map_or(Step::Varies, Step::Constant);
                self.step = match self.step {
                    Step::Unknown => step,
                    known if known == step => known,
                    _ => Step::Varies,
                };
            }
            self.last = Some(id);
        }
    }

    /// Whether the first event with data of another endpoint can follow those recorded: it states an
    /// id, which is neither among those before nor leaves out any. `None` without such an event.
    pub fn is_continued_by(&self, events: &[u8]) -> Option<bool> {
        let event =
            blocks(events).find(|block| lines(block).any(|line| line.starts_with(b"data")))?;
        let Some(last) = self.last else { return Some(true) };
        let id = lines(event).find_map(event_id).and_then(|id| id.parse::<u64>().ok());
        Some(match (id, self.step) {
            (Some(id), Step::Constant(step)) => last.checked_add(step) == Some(id),
            (Some(id), Step::Unknown | Step::Varies) => id > last,
            (None, _) => false,
        })
    }
}

fn lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split(|byte| matches!(byte, b'\n' | b'\r'))
}

fn event_id(line: &[u8]) -> Option<&str> {
    std::str::from_utf8(line.strip_prefix(b"id:")?).ok().map(str::trim)
}

/// The parts of complete events between empty lines, whatever line ends they use.
fn blocks(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let ends = [&b"\n\n"[..], b"\n\r\n", b"\r\r"];
        let is_end = |at: &usize| ends.iter().any(|end| rest[..*at].ends_with(end));
        let end = (2..=rest.len()).find(is_end).unwrap_or(rest.len());
        let (block, others) = rest.split_at(end);
        rest = others;
        Some(block)
    })
}
