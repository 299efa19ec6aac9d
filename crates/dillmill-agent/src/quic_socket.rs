//! The socket and the runtime that `quinn` uses: packets go through the data task, and tasks and timers
//! run on compio.

use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncTimer, AsyncUdpSocket, Runtime, UdpPoller};
use send_wrapper::SendWrapper;

const MAX_INBOX_PACKETS: usize = 4096;

/// A packet for a caller.
#[derive(Debug)]
pub struct Outbound {
    /// The caller.
    pub caller: SocketAddr,
    /// The packet.
    pub packet: Vec<u8>,
}

#[derive(Default)]
struct Inbox {
    packets: VecDeque<(SocketAddr, Vec<u8>)>,
    waker: Option<Waker>,
}

/// Socket that exchanges packets with the data task in place of a UDP socket.
pub struct QuicSocket {
    inbox: Mutex<Inbox>,
    out: flume::Sender<Outbound>,
    local: SocketAddr,
}

impl fmt::Debug for QuicSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "QuicSocket({})", self.local)
    }
}

impl QuicSocket {
    /// Creates a socket that reports `local` as its address.
    #[must_use]
    pub fn new(local: SocketAddr, out: flume::Sender<Outbound>) -> Arc<Self> {
        Arc::new(Self { inbox: Mutex::default(), out, local })
    }

    /// Queues a packet of `caller` for the endpoint; drops the packet if the queue is full.
    pub fn deliver(&self, caller: SocketAddr, packet: &[u8]) {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        if inbox.packets.len() < MAX_INBOX_PACKETS {
            inbox.packets.push_back((caller, packet.to_vec()));
        }
        if let Some(waker) = inbox.waker.take() {
            waker.wake();
        }
    }
}

#[derive(Debug)]
struct AlwaysWritable;

impl UdpPoller for AlwaysWritable {
    fn poll_writable(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl AsyncUdpSocket for QuicSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(AlwaysWritable)
    }

    fn try_send(&self, transmit: &Transmit) -> io::Result<()> {
        let packet = transmit.contents.to_vec();
        let _ = self.out.send(Outbound { caller: transmit.destination, packet });
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        let mut n = 0;
        while n < bufs.len().min(meta.len()) {
            let Some((addr, packet)) = inbox.packets.pop_front() else { break };
            let len = packet.len().min(bufs[n].len());
            bufs[n][..len].copy_from_slice(&packet[..len]);
            meta[n] = RecvMeta { addr, len, stride: len, ecn: None, dst_ip: None };
            n += 1;
        }
        if n == 0 {
            inbox.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(n))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.local)
    }
}

/// Runs quinn's tasks and timers on compio.
#[derive(Debug)]
pub struct CompioRuntime;

/// A compio timer, which is used only on the thread that created it.
struct Timer(SendWrapper<Pin<Box<dyn Future<Output = ()>>>>);

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Timer")
    }
}

impl Timer {
    fn at(instant: Instant) -> Self {
        Self(SendWrapper::new(Box::pin(compio::time::sleep_until(instant))))
    }
}

impl AsyncTimer for Timer {
    fn reset(mut self: Pin<&mut Self>, instant: Instant) {
        *self = Self::at(instant);
    }

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl Runtime for CompioRuntime {
    fn new_timer(&self, instant: Instant) -> Pin<Box<dyn AsyncTimer>> {
        Box::pin(Timer::at(instant))
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        compio::runtime::spawn(future).detach();
    }

    fn wrap_udp_socket(&self, _: std::net::UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}
