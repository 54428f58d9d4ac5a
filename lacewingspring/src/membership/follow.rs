//! Follows the platform's instance list.

use std::{sync::Arc, time::Duration};

use tokio::time::interval;

use crate::{clock, daemon::Node, platform::instance_list::InstanceList};

/// Reads the list periodically and passes it to the membership. Keeps the last list if a read
/// fails.
pub async fn follow_list(node: Arc<Node>) {
    let settings = &node.settings;
    let list = InstanceList::new(settings.instance_list.endpoint, &settings.instance_list.service);
    let Ok(list) = list else {
        log::error!("The instance list has no valid URL; it is never read.");
        return;
    };
    let mut ticks = interval(Duration::from_millis(settings.timing.instance_list_ms));
    loop {
        ticks.tick().await;
        match list.read().await {
            Ok(listed) => node.fleet.observe_list(clock::now(), listed),
            Err(e) => log::warn!(reason:% = e; "Cannot read the instance list; keeps the old one."),
        }
    }
}
