//! Values in the paths and queries of calls.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, percent_encode};
use std::borrow::Cow;

/// All bytes but the unreserved ones (RFC 3986, section 2.3). With `+` and the blank encoded, it makes no difference
/// whether the receiver decodes a query as a form.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Percent-encodes a value, to be displayed as a segment of a path or in a query.
pub fn encode<T>(value: &T) -> PercentEncode<'_>
where
    T: AsRef<[u8]> + ?Sized,
{
    percent_encode(value.as_ref(), RESERVED)
}

/// Decodes a segment of a path. Bytes that are not UTF-8 are replaced by U+FFFD.
pub fn decode_segment(segment: &str) -> Cow<'_, str> {
    percent_encoding::percent_decode_str(segment).decode_utf8_lossy()
}

/// Returns the decoded value of the first parameter `name` of a query that is not empty. Bytes that are not UTF-8 are
/// replaced by U+FFFD.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs.find(|(n, v)| n == name && !v.is_empty()).map(|(_, value)| value)
}
