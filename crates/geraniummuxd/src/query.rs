//! Parses the query string of a request.

use http::Uri;

/// Returns the value of the first parameter `name` that has one, without percent-decoding.
pub fn value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
