//! Ids of prompt parts in the log.

use std::fmt;

/// Ids of prompt parts as the log shows them: hexadecimal, separated by commas.
pub(crate) struct PartIds<'a>(pub(crate) &'a [u64]);

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, id) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{id:x}")?;
        }
        Ok(())
    }
}
