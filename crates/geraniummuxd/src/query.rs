//! Reads the query of a request.

use http::Uri;

/// Returns the value of a parameter, which is not decoded.
pub fn value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
