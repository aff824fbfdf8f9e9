//! Splits JSON text without reading the parts, so that each can be read and judged by itself.
//!
//! Only brackets and quotes are interpreted, so parts may be nested to any depth and need not be valid:
//! numbers, escapes and the encoding of strings are not checked.

/// Members of an object, in order, as text that is not read yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Members<'a> {
    /// Splits an object; `None` when the text is no object.
    pub(crate) fn split(text: &'a [u8]) -> Option<Self> {
        let mut cursor = Cursor(text);
        let mut members = Vec::new();
        cursor.take(b'{')?;
        if cursor.take(b'}').is_none() {
            loop {
                let key = cursor.part()?;
                cursor.take(b':')?;
                members.push((key, cursor.part()?));
                if cursor.take(b',').is_none() {
                    cursor.take(b'}')?;
                    break;
                }
            }
        }
        cursor.is_at_end().then_some(Self(members))
    }

    /// Text of the member with this name; the last one where there are several.
    pub(crate) fn get(&self, name: &str) -> Option<&'a [u8]> {
        let named = |key: &[u8]| serde_json::from_slice::<String>(key).is_ok_and(|key| key == name);
        let found = self.0.iter().rev().find(|(key, _)| named(key));
        found.map(|(_, text)| *text)
    }
}

/// Splits an array into the texts of its elements; `None` when the text is no array.
pub(crate) fn split_array(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut cursor = Cursor(text);
    let mut elements = Vec::new();
    cursor.take(b'[')?;
    if cursor.take(b']').is_none() {
        loop {
            elements.push(cursor.part()?);
            if cursor.take(b',').is_none() {
                cursor.take(b']')?;
                break;
            }
        }
    }
    cursor.is_at_end().then_some(elements)
}

/// Text that is left to split.
struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn skip_space(&mut self) {
        self.0 = self.0.trim_ascii_start();
    }

    fn is_at_end(&mut self) -> bool {
        self.skip_space();
        self.0.is_empty()
    }

    /// Takes a byte, if it is the next one after any space.
    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        self.0 = self.0.strip_prefix(&[byte])?;
        Some(())
    }

    /// Takes the text of the next value.
    fn part(&mut self) -> Option<&'a [u8]> {
        self.skip_space();
        let mut depth = 0_usize;
        let mut at = 0;
        let end = loop {
            match *self.0.get(at)? {
                b'"' => at += string_length(&self.0[at..])?,
                b'[' | b'{' => {
                    depth += 1;
                    at += 1;
                }
                b']' | b'}' if depth > 0 => {
                    depth -= 1;
                    at += 1;
                }
                b',' | b':' | b']' | b'}' if depth == 0 => break at,
                _ => {
                    at += 1;
                    continue;
                }
            }
            if depth == 0 {
                break at;
            }
        };
        let (part, rest) = self.0.split_at(end);
        self.0 = rest;
        (!part.is_empty()).then_some(part)
    }
}

/// Length of the string at the start of the text, with its quotes; `None` when it does not end.
fn string_length(text: &[u8]) -> Option<usize> {
    let mut is_escaped = false;
    for (at, byte) in text.iter().enumerate().skip(1) {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = true,
            b'"' => return Some(at + 1),
            _ => {}
        }
    }
    None
}
