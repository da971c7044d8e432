//! The bytes of a watch, split into objects and signs of life.

use mothproxy::core::watch_liveness::ObjectSplitter;

/// Objects of a watch are split alike wherever its bytes are cut; empty lines between them are seen.
#[test]
fn splits_objects_however_they_are_cut_and_indented() {
    let text =
        b"\n{\"a\":1}\n\n{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}\n\nnot a list\n{\"d\":2}\n";
    let expected: [&[u8]; 4] =
        [b"{\"a\":1}", b"{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}", b"not a list", b"{\"d\":2}"];
    for size in 1..text.len() {
        let mut objects = ObjectSplitter::default();
        let (mut split, mut empty_lines) = (Vec::new(), 0);
        for piece in text.chunks(size) {
            objects.feed(piece);
            split.extend(std::iter::from_fn(|| objects.next_object()));
            empty_lines += usize::from(objects.take_empty_line());
        }
        assert_eq!(split, expected, "in pieces of {size}");
        assert!(!objects.is_partial() && objects.is_empty(), "{objects:?}");
        let is_exact = empty_lines == 3;
        assert!(
            empty_lines <= 3 && (size > 1 || is_exact),
            "three empty lines: {empty_lines} in pieces of {size}"
        );
    }
}

/// Spaces, and parts of a line that begins no object, are no sign of life: a watch that sends only those is silent.
#[test]
fn counts_only_lines_and_objects_as_signs_of_life() {
    for text in ["   ", "\t", "nothing", "{\"a\":1}\n", "junk\n"] {
        let mut objects = ObjectSplitter::default();
        objects.feed(text.as_bytes());
        while objects.next_object().is_some() {}
        assert!(!objects.take_empty_line(), "{text:?}");
    }
}
