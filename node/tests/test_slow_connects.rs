//! Endpoints to which connections take long: a request waits for them while it has time.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_platform_standin::endpoint::Endpoint;
use socket2::{Domain, Socket, Type};

use crate::node_process::{NodeProcess, config};

/// Time after which connections are accepted, longer than a request waits for one.
const ACCEPT_DELAY: Duration = Duration::from_millis(500);

/// Copies bytes until their end.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut bytes) {
        if to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn forward(client: TcpStream, target: SocketAddr) {
    let server = TcpStream::connect(target).expect("the endpoint listens");
    let (client_copy, server_copy) = (client.try_clone(), server.try_clone());
    let (client_copy, server_copy) = (client_copy.expect("a copy"), server_copy.expect("a copy"));
    thread::spawn(move || copy(client, server));
    thread::spawn(move || copy(server_copy, client_copy));
}

/// A listener whose queue of connections is full, so that the first packet of another one is lost.
struct FullListener {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullListener {
    fn bind() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket opens");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&address.into()).expect("a port is free");
        socket.listen(0).expect("the socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the listener has an address");
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let queued: Vec<_> = (0..8).map_while(|n| connect(n).ok()).collect();
        assert!(queued.len() < 8, "the queue has no end");
        Self { listener, queued }
    }

    fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("the listener has an address")
    }

    /// Takes the connections from the queue after a time, and forwards all later ones.
    fn accept_after(self, delay: Duration, target: SocketAddr) {
        thread::spawn(move || {
            thread::sleep(delay);
            for _ in &self.queued {
                self.listener.accept().expect("a connection is queued");
            }
            for client in self.listener.incoming().map_while(Result::ok) {
                forward(client, target);
            }
        });
    }
}

#[test]
fn request_is_served_though_the_first_packet_of_its_connection_was_lost() {
    let node = NodeProcess::unconfigured();
    let endpoint = Endpoint::spawn(&node.store, "p1", "plain", None);
    // A VM whose connections to all of a few endpoints fail takes itself for cut off.
    let engines = ["e1", "e2", "e3", "e4"];
    let _engines = engines.map(|id| Endpoint::spawn(&node.store, id, "models", Some("d1")));
    let listener = FullListener::bind();
    endpoint.publish_entry_at(listener.address());
    node.configure(&config(1));
    node.wait_until("the endpoint serves", |n| {
        !n.log_lines("event=serving id=p1").is_empty()
    });
    node.wait_until("the node is ready", |n| n.ready_status() == 200);
    listener.accept_after(ACCEPT_DELAY, endpoint.address());
    let begin = Instant::now();
    let response = node.send("POST", "/once/a", "r1", "", "x");
    let lines = node.log_lines("r1");
    assert_eq!(response.status, 200, "{:?} {lines:#?}", begin.elapsed());
    assert_eq!(endpoint.runs().len(), 1);
}
