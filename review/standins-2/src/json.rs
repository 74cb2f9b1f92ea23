//! Just enough JSON for the store: finding the text of a field and reading simple values.

/// The end of the value that starts at `at`.
fn value_end(text: &[u8], at: usize) -> usize {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut i = at;
    while i < text.len() {
        let byte = text[i];
        if in_string {
            match byte {
                b'\\' => i += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return i + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return i,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return i + 1;
                    }
                }
                b',' if depth == 0 => return i,
                _ => {}
            }
        }
        i += 1;
    }
    text.len()
}

fn skip(text: &[u8], mut at: usize, also: u8) -> usize {
    while at < text.len() && (text[at].is_ascii_whitespace() || text[at] == also) {
        at += 1;
    }
    at
}

/// The text of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip(text, object.find('{')? + 1, b',');
    while at < text.len() && text[at] == b'"' {
        let key_end = value_end(text, at);
        let key = &object[at + 1..key_end - 1];
        let value_at = skip(text, key_end, b':');
        let end = value_end(text, value_at);
        if key == name {
            return Some(object[value_at..end].trim());
        }
        at = skip(text, end, b',');
    }
    None
}

/// The content of a string without escapes.
pub fn string(text: &str) -> Option<String> {
    Some(text.strip_prefix('"')?.strip_suffix('"')?.to_owned())
}
