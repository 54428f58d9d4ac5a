//! `status`: shows instances and roles.

use std::fmt::{self, Formatter};

use crate::{
    api::{CallsStatus, FleetStatus, RoleStatus},
    output::{
        Render,
        table::{Table, or_dash},
    },
};

impl Render for FleetStatus {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { instance, data_centre, generation, .. } = self;
        writeln!(f, "as {instance} in {data_centre} sees it, generation {generation}\n")?;
        writeln!(f, "{}", instances(self))?;
        writeln!(f, "{}", roles(&self.roles))?;
        write!(f, "{}", calls(&self.key_value_calls))
    }
}

fn instances(status: &FleetStatus) -> Table {
    let titles = ["INSTANCE", "DATA-CENTRE", "ADDRESS", "STATE", "GENERATION", "HEARTBEAT-AGE-MS"];
    let mut table = Table::new(&titles);
    for it in &status.instances {
        let (generation, age) = (or_dash(it.generation), or_dash(it.heartbeat_age_ms));
        table.row([&it.name, &it.data_centre, &it.address, &it.state, &generation, &age]);
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

fn calls(calls: &[CallsStatus]) -> Table {
    let mut table = Table::new(&["KEY-VALUE-CALLS", "COUNT"]);
    for CallsStatus { purpose, calls } in calls {
        table.row([purpose, &calls]);
    }
    table
}
