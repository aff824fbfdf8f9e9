//! What the operating system makes of the clients' settings.

use socket2::{Domain, Socket, TcpKeepalive, Type};

use super::http::{PROBE_AFTER, PROBE_INTERVAL};

#[test]
fn the_kernel_takes_the_probes_of_idle_connections() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes).unwrap();
    assert_eq!(socket.tcp_keepalive_time().unwrap(), PROBE_AFTER);
    assert_eq!(socket.tcp_keepalive_interval().unwrap(), PROBE_INTERVAL);
}
