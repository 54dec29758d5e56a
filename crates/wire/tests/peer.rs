//! Messages between our processes, as they come off a connection.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use tarpc::{ClientMessage, Response};
use tokio_serde::formats::MessagePack;
use tokio_serde::{Deserializer, Serializer};
use wire::claim::Claim;
use wire::rpc::{ControlRequest, ControlResponse};

fn read<In>(bytes: &[u8]) -> Result<In, std::io::Error>
where
    In: serde::de::DeserializeOwned + Unpin,
{
    let mut codec: MessagePack<In, ()> = MessagePack::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(bytes))
}

fn written(request: &ControlRequest) -> Bytes {
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
fn read_what_was_written() {
    assert!(matches!(
        read::<ControlRequest>(&written(&claim())),
        Ok(ControlRequest::Claim { claim }) if &*claim.key == "order-7"
    ));
}

/// A peer of another release, or a stranger who got past nothing: any bytes are read or refused,
/// never a panic that would take the process down.
#[test]
fn read_any_bytes() {
    fuzz::check(5_000, |bytes: &Vec<u8>| {
        let _ = read::<ClientMessage<ControlRequest>>(bytes);
        let _ = read::<Response<ControlResponse>>(bytes);
    });
}

#[test]
fn read_changed_bytes() {
    let whole = written(&claim());
    fuzz::check(5_000, |edits: &Vec<(u16, u8)>| {
        let mut bytes = whole.to_vec();
        for (at, byte) in edits.iter().take(4) {
            let at = usize::from(*at) % bytes.len();
            bytes[at] = *byte;
        }
        let _ = read::<ControlRequest>(&bytes);
    });
}
