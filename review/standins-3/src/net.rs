//! Connections from a chosen loopback address, and free ports.

use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
    os::fd::FromRawFd,
};

/// `struct sockaddr_in`.
#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    ip: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const Address, len: u32) -> i32;
    fn connect(fd: i32, address: *const Address, len: u32) -> i32;
    fn close(fd: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

const AF_INET: i32 = 2;
/// `IP_BIND_ADDRESS_NO_PORT`: the port is chosen when the connection is made, so that a port may
/// be used for several targets.
const SOL_IP: i32 = 0;
const BIND_WITHOUT_PORT: i32 = 24;

const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;

impl Address {
    fn new(address: SocketAddrV4) -> Self {
        Self {
            family: AF_INET as u16,
            port: address.port().to_be(),
            ip: u32::from_ne_bytes(address.ip().octets()),
            zero: [0; 8],
        }
    }
}

/// Connects from a loopback address.
pub fn connect_from(from: Ipv4Addr, to: SocketAddrV4) -> io::Result<TcpStream> {
    let len = size_of::<Address>() as u32;
    let (source, target) = (Address::new(SocketAddrV4::new(from, 0)), Address::new(to));
    // SAFETY: the calls get valid pointers to addresses of their length, and the descriptor is
    // owned by the stream or closed.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let on = 1;
        setsockopt(fd, SOL_IP, BIND_WITHOUT_PORT, &on, 4);
        if bind(fd, &source, len) != 0 || connect(fd, &target, len) != 0 {
            let error = io::Error::last_os_error();
            close(fd);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(fd))
    }
}

/// Returns free ports.
pub fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("its address").port()).collect()
}
