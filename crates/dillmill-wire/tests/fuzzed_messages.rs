//! Arbitrary input never makes a decoder of the messages between processes panic, and an envelope
//! decodes to what was encoded.

use dillmill_core::{
    Envelope, PacketPurpose, ProcessId, Revision, Search, SearchPlace, SearchScope, ServiceTag,
};
use dillmill_wire::{Frame, Message, open_envelope, seal_envelope};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Uses a fixed seed, so that every CI run tests the same cases.
fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 2000, ..ProptestConfig::default() }
}

fn purpose() -> impl Strategy<Value = PacketPurpose> {
    let place = prop_oneof![
        any::<u8>().prop_map(SearchPlace::Directory),
        any::<u64>().prop_map(SearchPlace::Holder),
    ];
    let scope = prop_oneof![Just(SearchScope::All), Just(SearchScope::Directories)];
    let search = (prop::option::of(place), any::<u16>(), any::<[bool; 2]>(), scope)
        .prop_map(|(place, steps, [sure, told], scope)| Search { place, steps, sure, told, scope });
    let passed = prop::collection::vec(any::<u64>().prop_map(ProcessId), 0..4);
    prop_oneof![
        passed.clone().prop_map(|passed| PacketPurpose::Place { passed }),
        (passed, any::<u32>())
            .prop_map(|(passed, waited_ms)| PacketPurpose::Moved { passed, waited_ms }),
        Just(PacketPurpose::Deliver),
        search.clone().prop_map(PacketPurpose::Search),
        (search, any::<u8>()).prop_map(|(search, times)| PacketPurpose::Directed { search, times }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = open_envelope(&bytes);
        let _ = Frame::decode(&bytes);
        let _ = postcard::from_bytes::<Message>(&bytes);
    }

    #[test]
    fn envelope_read_as_written(
        purpose in purpose(),
        service in any::<u32>(),
        revision in any::<u64>(),
        packet in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let (service, revision) = (ServiceTag(service), Revision(revision));
        let origin = "10.0.0.9:7000".parse().unwrap();
        let envelope = Envelope { service, revision, origin, purpose };
        let mut buf = Vec::new();
        seal_envelope(&envelope, &packet, &mut buf);
        prop_assert_eq!(open_envelope(&buf), Ok((envelope, packet.as_slice())));
    }
}
