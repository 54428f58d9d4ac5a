//! `status`: shows instances, roles and calls to the key-value service.

use std::fmt::{self, Formatter};

use crate::{
    api::{FleetStatus, KeyValueCalls, RoleStatus},
    output::{
        Render,
        table::{Table, or_dash},
    },
};

impl Render for FleetStatus {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { instance, data_centre, generation, .. } = self;
        writeln!(f, "view of {instance} in {data_centre}, generation {generation}\n")?;
        writeln!(f, "{}", instances(self))?;
        writeln!(f, "{}", roles(&self.roles))?;
        write!(f, "{}", calls(&self.key_value_calls))
    }
}

fn instances(status: &FleetStatus) -> Table {
    let titles = ["INSTANCE", "DATA-CENTRE", "ADDRESS", "STATE", "GENERATION", "HEARTBEAT-AGE-MS"];
    let mut table = Table::new(&titles);
    for instance in &status.instances {
        let (generation, age) = (or_dash(instance.generation), or_dash(instance.heartbeat_age_ms));
        table.row([
            &instance.name,
            &instance.data_centre,
            &instance.address,
            &instance.state,
            &generation,
            &age,
        ]);
    }
    table
}

fn roles(roles: &[RoleStatus]) -> Table {
    let mut table = Table::new(&["ROLE", "HOLDER"]);
    for RoleStatus { role, holder } in roles {
        table.row([role, &or_dash(holder.as_ref())]);
    }
    table
}

fn calls(calls: &[KeyValueCalls]) -> Table {
    let mut table = Table::new(&["KEY-VALUE-CALLS", "COUNT"]);
    for KeyValueCalls { purpose, calls } in calls {
        table.row([purpose, &calls]);
    }
    table
}
