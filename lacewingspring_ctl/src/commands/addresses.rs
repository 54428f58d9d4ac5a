//! `addresses`: shows the addresses that callers should use.

use std::fmt::{self, Formatter};

use crate::{
    api::{AddressList, WeightedAddress},
    output::{Render, table::Table},
};

impl Render for AddressList {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["ADDRESS", "DATA-CENTRE", "WEIGHT"]);
        for WeightedAddress { address, data_centre, weight } in &self.addresses {
            table.row([address, data_centre, weight]);
        }
        write!(f, "{table}\nvalid for {} ms\n", self.ttl_ms)
    }
}
