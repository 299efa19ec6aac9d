//! Looks whether a target has a process.
//!
//! An agent that has just started can't tell whether its target holds flows of an earlier time until the target
//! has spoken, which one that is not there never does. A refused connection tells at once.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use compio::net::TcpStream;
use dillmill_core::flow_gate::TargetPresence;

/// The target is on the same VM: only one that stands still takes this long.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The same for an agent that has other things to start.
pub const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Tries once to connect to the target, for as long as `limit`.
pub async fn probe(target: SocketAddrV4, limit: Duration) -> TargetPresence {
    match compio::time::timeout(limit, TcpStream::connect(target)).await {
        Ok(Ok(_)) => TargetPresence::Present,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => TargetPresence::Absent,
        // Neither an answer nor a refusal proves anything.
        Ok(Err(_)) | Err(_) => TargetPresence::Unknown,
    }
}
