//! The framing of a watch: its bytes are split into objects and empty lines.

use mothproxy::core::watch_liveness::ObjectSplitter;

/// The objects of a watch are the same wherever its bytes are split, and empty lines between them are detected.
#[test]
fn splits_objects_for_any_chunk_size_and_indentation() {
    let text =
        b"\n{\"a\":1}\n\n{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}\n\nnot a list\n{\"d\":2}\n";
    let expected: [&[u8]; 4] =
        [b"{\"a\":1}", b"{\n  \"b\": [\n    {\"c\": \"}\\\"]\\\\\"}\n  ]\n}", b"not a list", b"{\"d\":2}"];
    for size in 1..text.len() {
        let mut objects = ObjectSplitter::default();
        let (mut split, mut empty_lines) = (Vec::new(), 0);
        for chunk in text.chunks(size) {
            objects.feed(chunk);
            split.extend(std::iter::from_fn(|| objects.next_object()));
            empty_lines += usize::from(objects.take_empty_line());
        }
        assert_eq!(split, expected, "in chunks of {size}");
        assert!(!objects.is_partial() && objects.is_empty(), "{objects:?}");
        let is_exact = empty_lines == 3;
        assert!(
            empty_lines <= 3 && (size > 1 || is_exact),
            "{empty_lines} empty lines instead of 3 in chunks of {size}"
        );
    }
}

/// Spaces and incomplete lines outside of objects do not count as data: a watch that sends nothing else is silent.
#[test]
fn counts_only_empty_lines_and_objects_as_data() {
    for text in ["   ", "\t", "nothing", "{\"a\":1}\n", "junk\n"] {
        let mut objects = ObjectSplitter::default();
        objects.feed(text.as_bytes());
        while objects.next_object().is_some() {}
        assert!(!objects.take_empty_line(), "{text:?}");
    }
}
