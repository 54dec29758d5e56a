//! Deserialization of the messages that processes receive on a connection.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use tarpc::{ClientMessage, Response};
use tokio_serde::formats::MessagePack;
use tokio_serde::{Deserializer, Serializer};
use wire::claim::Claim;
use wire::rpc::{ControlRequest, ControlResponse};

fn deserialize<In>(bytes: &[u8]) -> Result<In, std::io::Error>
where
    In: serde::de::DeserializeOwned + Unpin,
{
    let mut codec: MessagePack<In, ()> = MessagePack::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(bytes))
}

fn serialize(request: &ControlRequest) -> Bytes {
    let mut codec: MessagePack<(), ControlRequest> = MessagePack::default();
    Pin::new(&mut codec).serialize(request).expect("bytes")
}

fn claim() -> ControlRequest {
    let claim = Claim {
        account: "account".into(),
        key: "order-7".into(),
        request: "host-0-1".into(),
        keep_ms: 60_000,
    };
    ControlRequest::Claim { claim }
}

#[test]
fn deserialize_serialized_claim() {
    assert!(matches!(
        deserialize::<ControlRequest>(&serialize(&claim())),
        Ok(ControlRequest::Claim { claim }) if &*claim.key == "order-7"
    ));
}

/// Peers of another release, or processes without the shared key, may send any bytes. They are
/// accepted or rejected without a panic, which would end the process.
#[test]
fn deserialize_any_bytes_without_panic() {
    fuzz::check(5_000, |bytes: &Vec<u8>| {
        let _ = deserialize::<ClientMessage<ControlRequest>>(bytes);
        let _ = deserialize::<Response<ControlResponse>>(bytes);
    });
}

#[test]
fn deserialize_changed_bytes_without_panic() {
    let original = serialize(&claim());
    fuzz::check(5_000, |edits: &Vec<(u16, u8)>| {
        let mut bytes = original.to_vec();
        for (index, byte) in edits.iter().take(4) {
            let index = usize::from(*index) % bytes.len();
            bytes[index] = *byte;
        }
        let _ = deserialize::<ControlRequest>(&bytes);
    });
}
