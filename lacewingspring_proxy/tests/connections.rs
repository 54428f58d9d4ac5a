//! Bounds on connections, and how the descriptors are divided.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use lacewingspring_proxy::{
    clock,
    connections::{Connections, Limit, MaxConnections},
    descriptors::DescriptorShares,
    settings::{ConnectionSettings, Machine},
};

/// Idle time after which a connection may be closed.
const IDLE: Duration = Duration::from_secs(1);

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Guards against a crowd of idle connections that keeps new callers out, and against a request
/// that is cut for a new connection.
#[test]
fn closes_the_connection_that_is_idle_for_longest() {
    let connections =
        Connections::new("callers", MaxConnections { total: 3, per_address: 3 }, None);
    let now = clock::now();
    let (first, _) = connections.admit(now, address(1)).expect("room");
    let request = first.requests().begin();
    let (_second, _) = connections.admit(now + IDLE / 4, address(1)).expect("room");
    let (_third, _) = connections.admit(now + IDLE / 2, address(1)).expect("room");
    assert!(connections.admit(now + IDLE / 2, address(2)).is_none(), "no one is idle for long");
    let (_fourth, has_closed) = connections.admit(now + IDLE, address(2)).expect("room");
    assert!(has_closed);
    assert_eq!(connections.count(), 3);
    assert_eq!(connections.limited(Limit::Process), (1, 1));
    let (_fifth, _) = connections.admit(now + 2 * IDLE, address(2)).expect("room");
    let (_sixth, _) = connections.admit(now + 4 * IDLE, address(2)).expect("room");
    drop(request);
    assert_eq!(connections.count(), 3);
}

/// Guards against one address that takes the connections of all others.
#[test]
fn bounds_the_connections_of_one_address() {
    let connections =
        Connections::new("callers", MaxConnections { total: 10, per_address: 2 }, None);
    let now = clock::now();
    let open: Vec<_> = (0..4).filter_map(|_| connections.admit(now, address(1))).collect();
    assert_eq!(open.len(), 2);
    assert!(connections.admit(now, address(2)).is_some());
    assert_eq!(connections.limited(Limit::Address), (0, 2));
    drop(open);
    assert!(connections.admit(now, address(1)).is_some());
}

/// Guards against descriptors that are handed out twice, counting one more for each caller.
#[test]
fn divides_the_descriptors() {
    for count in [300, 700, 2_870, 20_000] {
        let machine = Machine { descriptors: Some(count), ..Machine::default() };
        let shares = DescriptorShares::new(&machine, &ConnectionSettings::default());
        let DescriptorShares { callers, links, directory, readiness, metrics } = shares;
        let used =
            2 * callers.total + links.total + directory.total + readiness.total + metrics.total;
        assert!(used < count as usize - 200, "{shares:?}");
        assert!(callers.per_address > callers.total / 2, "{shares:?}");
    }
    let machine = Machine { descriptors: Some(2_870), ..Machine::default() };
    let shares = DescriptorShares::new(&machine, &ConnectionSettings::default());
    assert_eq!(shares.callers, MaxConnections { total: 1_001, per_address: 750 });
    assert!(shares.links.total >= 350, "one gate links to 350 instances: {shares:?}");
}

/// Guards against a bound where the settings state no descriptors.
#[test]
fn bounds_nothing_without_stated_descriptors() {
    let shares = DescriptorShares::new(&Machine::default(), &ConnectionSettings::default());
    assert_eq!(shares.callers, MaxConnections::UNBOUNDED);
    assert_eq!(shares.directory, MaxConnections::UNBOUNDED);
}

/// Guards against machines with few descriptors, and settings for few callers, that let nobody in.
#[test]
fn lets_a_caller_in_where_there_is_little() {
    for count in [0, 1, 200, 201, 203, 210] {
        let machine = Machine { descriptors: Some(count), ..Machine::default() };
        let shares = DescriptorShares::new(&machine, &ConnectionSettings::default());
        let callers = shares.callers;
        assert!(callers.total >= 1 && callers.per_address >= 1, "{count}: {shares:?}");
    }
    let settings = ConnectionSettings { callers: Some(1), callers_per_address: None };
    let shares = DescriptorShares::new(&Machine::default(), &settings);
    assert_eq!(shares.callers, MaxConnections { total: 1, per_address: 1 });
}

/// Guards against an overflow where the settings allow very many callers.
#[test]
fn divides_huge_numbers() {
    let machine = Machine { descriptors: Some(u32::MAX), ..Machine::default() };
    let settings =
        ConnectionSettings { callers: Some(usize::MAX - 1), callers_per_address: Some(usize::MAX) };
    let shares = DescriptorShares::new(&machine, &settings);
    assert_eq!(shares.callers, MaxConnections { total: usize::MAX - 1, per_address: usize::MAX });
}
