//! Probes whether a target process is running.
//!
//! An agent that has just started can't tell whether its target holds flows from before until the target
//! sends a heartbeat, and an absent target never sends one. A refused connection shows at once that there
//! is no target.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use compio::net::TcpStream;
use dillmill_core::flow_gate::TargetPresence;

/// Time-out of a probe. The target runs on the same VM, so only a stopped process takes this long.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time-out of the probe at the agent's start, which delays everything else that has to start.
pub const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Tries once to connect to the target, for at most `limit`.
pub async fn probe(target: SocketAddrV4, limit: Duration) -> TargetPresence {
    match compio::time::timeout(limit, TcpStream::connect(target)).await {
        Ok(Ok(_)) => TargetPresence::Present,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => TargetPresence::Absent,
        // Without a connection or a refusal, the probe proves nothing.
        Ok(Err(_)) | Err(_) => TargetPresence::Unknown,
    }
}
