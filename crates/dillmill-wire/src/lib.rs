//! Wire formats of the messages between dillmill processes.
//!
//! Control messages are encoded with `postcard` and authenticated by an HMAC-SHA-256 tag under the
//! installation's key, so that an outsider who can send to a control address can't change the state of a
//! process. Packets of flows are sent between balancers and agents after a short [`Frame`] header; QUIC
//! protects their content.

pub mod flow_message;
pub mod frame;
pub mod load_status;
pub mod message;
pub mod packet;
pub mod seal;
pub mod stream;

pub use flow_message::{FlowMessage, RefusalDetail, open_envelope, seal_envelope};
pub use frame::{Frame, FrameError};
pub use load_status::LoadStatus;
pub use message::{CachedResponse, Message, PeerRequest, Reply};
pub use packet::{Destination, packet_destination};
pub use seal::{ClusterKey, ClusterKeyError, SealError};
pub use stream::{ForwardedRequest, ProcessStatus, StreamMessage};
