//! Values in paths and queries.

use geraniummux_core::uri::{decode_segment, encode, query_value};
use proptest::prelude::*;

/// Guards against names that the receiver reads otherwise, as it decodes queries as forms or not.
#[test]
fn encode_leaves_only_unreserved_characters() {
    assert_eq!(encode("i-7f.3_a~9").to_string(), "i-7f.3_a~9");
    assert_eq!(encode("a+b c&d=é#%2F").to_string(), "a%2Bb%20c%26d%3D%C3%A9%23%252F");
    assert_eq!(encode(b"\xff\0").to_string(), "%FF%00");
}

/// Guards against a parameter that is read from another one's value.
#[test]
fn query_value_is_that_of_the_whole_name() {
    let query = "xafter=1&after=&before=after%3D2&af%74er=a+b%2Bc&after=3";
    assert_eq!(query_value(query, "after").as_deref(), Some("a b+c"));
    assert_eq!(query_value(query, "later"), None);
    assert_eq!(query_value("", "after"), None);
}

proptest! {
    /// Guards against text that is not received as it was sent.
    #[test]
    fn encode_decoded_is_the_same(text in "\\PC*|[\\x00-\\x7f]+") {
        let encoded = encode(&text).to_string();
        prop_assert_eq!(decode_segment(&encoded), &*text);
        let query = format!("a=1&text={encoded}&b=2");
        let decoded = query_value(&query, "text").unwrap_or_default();
        prop_assert_eq!(decoded, &*text);
    }
}
