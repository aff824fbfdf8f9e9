//! Tests that the operating system accepts the clients' socket options.

use socket2::{Domain, Socket, TcpKeepalive, Type};

use super::http::{KEEPALIVE_IDLE, KEEPALIVE_INTERVAL};

#[test]
fn kernel_accepts_the_keepalive_times() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive).unwrap();
    assert_eq!(socket.tcp_keepalive_time().unwrap(), KEEPALIVE_IDLE);
    assert_eq!(socket.tcp_keepalive_interval().unwrap(), KEEPALIVE_INTERVAL);
}
