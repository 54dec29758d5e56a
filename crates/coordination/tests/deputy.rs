//! Which records a deputy, an owner and an idle control process accept and reject.

use coordination::home::Home;
use coordination::message::{Append, AppendReply, Holder, Record};
use coordination::owner::Owner;
use coordination::records::Records;
use coordination::shard::{Shard, Transition};
use policy::name::Name;
use policy::time::Millis;

fn append(owner: &str, epoch: u64, first: u64, keys: &[&str], whole: bool) -> Append {
    let record = |key: &&str| Record::Claim {
        key: Name::from(*key),
        request: Name::from(format!("{owner} {key}")),
        forget_at: Millis(100),
    };
    let records = keys.iter().map(record).collect();
    let home = Home { failure_domain: Name::from("a"), shard: 0 };
    Append { home, epoch, owner: Name::from(owner), first, records, whole }
}

/// A repeated full load arrives after later records were acknowledged. Applying it would undo those
/// records, and after a takeover the key `b` would be granted a second time.
#[test]
fn receive_delayed_load() {
    let mut shard = Shard::default();
    let load = append("one", 1, 1, &["a"], true);
    assert_eq!(shard.receive(&load), AppendReply::Up { to: 1 });
    assert_eq!(shard.receive(&append("one", 1, 1, &["b"], false)), AppendReply::Up { to: 2 });
    assert_eq!(shard.receive(&load), AppendReply::Up { to: 2 });
    let row = Holder { epoch: 2, owner: Name::from("me"), ..Holder::default() };
    assert_eq!(shard.apply_row(&Name::from("me"), &row), Transition::Promoted);
    let owner = shard.owner().expect("promoted");
    assert!(owner.records().find_claim("b", Millis(1)).is_some());
}

/// Two owners, one of which was paused for long, prepare the same epoch with the same deputy. The
/// later load must not replace the records of the owner that the row may name.
#[test]
fn receive_second_load_of_an_epoch() {
    let mut shard = Shard::default();
    assert_eq!(shard.receive(&append("one", 2, 5, &["a"], true)), AppendReply::Up { to: 5 });
    assert_eq!(shard.receive(&append("two", 2, 9, &[], true)), AppendReply::Fenced { epoch: 2 });
    assert_eq!(shard.receive(&append("two", 1, 9, &[], true)), AppendReply::Fenced { epoch: 2 });
    assert_eq!(shard.receive(&append("one", 2, 5, &["b"], false)), AppendReply::Up { to: 6 });
    assert_eq!(shard.receive(&append("one", 2, 8, &["c"], false)), AppendReply::Behind);
    // A repeated message adds no records.
    assert_eq!(shard.receive(&append("one", 2, 5, &["b"], false)), AppendReply::Up { to: 6 });
}

/// A control process that owns a shard gives it up only when the row says so.
#[test]
fn receive_as_live_owner() {
    let mut shard = Shard::default();
    shard.become_owner(Owner::new(3, Name::from("other"), Records::default(), 1));
    assert_eq!(shard.receive(&append("other", 4, 1, &[], true)), AppendReply::Fenced { epoch: 3 });
    assert!(shard.owner().is_some());
    let row = Holder { epoch: 4, owner: Name::from("other"), ..Holder::default() };
    assert_eq!(shard.apply_row(&Name::from("me"), &row), Transition::Dropped);
    assert!(shard.owner().is_none());
    // A load that was prepared under an epoch that has ended is rejected.
    assert_eq!(shard.receive(&append("two", 3, 1, &[], true)), AppendReply::Fenced { epoch: 3 });
}

/// A fenced deputy rejects all records until its swap certainly never takes effect.
#[test]
fn fence_refuses_records() {
    let mut shard = Shard::default();
    shard.receive(&append("one", 1, 1, &[], true));
    let other = Holder { epoch: 1, owner: Name::from("two"), ..Holder::default() };
    assert!(!shard.fence(&other), "the row names an owner other than the deputy's");
    let row = Holder { owner: Name::from("one"), ..other };
    assert!(shard.fence(&row));
    let late = append("one", 1, 1, &["a"], false);
    assert_eq!(shard.receive(&late), AppendReply::Fenced { epoch: 1 });
    let load = append("two", 2, 1, &[], true);
    assert_eq!(shard.receive(&load), AppendReply::Fenced { epoch: 1 });
    shard.unfence();
    assert_eq!(shard.receive(&late), AppendReply::Up { to: 2 });
}
