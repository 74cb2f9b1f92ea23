//! As much of JSON as the store needs: the raw text of a field of an object.

/// The text of a field's value in a JSON object; `None` if there is no such field.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        let key_end = value_end(bytes, at)?;
        let key = &object[at..key_end];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = value_end(bytes, start)?;
        if key.trim_matches('"') == name {
            return Some(&object[start..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// The content of a string field.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The position after the value that begins at `start`.
fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0;
    let mut in_string = false;
    let mut at = start;
    while at < bytes.len() {
        let byte = bytes[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(at),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' | b':' if depth == 0 => return Some(at),
                byte if depth == 0 && byte.is_ascii_whitespace() => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
    (start < bytes.len() && depth == 0 && !in_string).then_some(at)
}
