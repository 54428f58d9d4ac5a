//! Parsing of query parameters.

use std::str::FromStr;

use lacewingspring_core::error::ErrorKind;
use percent_encoding::percent_decode_str;

use super::problem::Failure;

/// Query string of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    pub(super) fn new(query: Option<&'a str>) -> Self {
        Self(query.unwrap_or_default())
    }

    /// Returns a parameter without decoding its percent escapes.
    pub(super) fn get(self, name: &str) -> Option<&'a str> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a parameter with its percent escapes decoded.
    pub(super) fn required(self, name: &str) -> Result<String, Failure> {
        let text = self.get(name).and_then(|text| percent_decode_str(text).decode_utf8().ok());
        let missing =
            || Failure::new(ErrorKind::Malformed).with_detail(format!("`{name}` is needed."));
        Ok(text.ok_or_else(missing)?.into_owned())
    }

    /// Parses a parameter; `None` if it is absent.
    pub(super) fn parse<T>(self, name: &str) -> Result<Option<T>, Failure>
    where
        T: FromStr,
    {
        let Some(text) = self.get(name) else { return Ok(None) };
        let malformed = |_| {
            Failure::new(ErrorKind::Malformed).with_detail(format!("`{name}` can't be {text:?}."))
        };
        text.parse().map(Some).map_err(malformed)
    }
}
