//! The audit counts each kind of violation that it is made for, and none in faultless records.

use policy::name::Name;
use standin::audit::{Audit, CallRecord, End};
use standin::deployment::Deployment;
use standin::platform::audit::Bills;
use standin::run::{Outcome, Run};
use wire::bill::Bill;
use wire::configuration::Document;

const CHEAP: &str = "dossier-small-3";
const BEST: &str = "dossier-large-7";
const WITHDRAWN: &str = "dossier-small-2";

/// The calls of clients, and what the stand-ins recorded.
struct Records {
    document: Document,
    sent: Vec<CallRecord>,
    runs: Vec<Run>,
    bills: Bills,
}

fn call(digest: &str, may_repeat: bool, session: Option<&str>, end: End) -> CallRecord {
    let session = session.map(Name::from);
    let (digest, account) = (digest.into(), "letters-desk".into());
    CallRecord { digest, account, service: false, may_repeat, session, end }
}

fn answered(request: &str) -> End {
    End::Answered { request: request.into() }
}

fn run(request: &str, digest: &str, version: &str) -> Run {
    Run {
        order: 0,
        request: request.into(),
        version: version.into(),
        call: "POST /v1/chat/completions".into(),
        digest: digest.into(),
        good: true,
        outcome: Outcome::Whole,
    }
}

fn bill(request: &str) -> Bill {
    Bill {
        request: request.into(),
        account: "letters-desk".into(),
        task: "letter".into(),
        version: BEST.into(),
        cost: 8.0,
        at: policy::time::Millis(1),
        whole: true,
        log: Name::default(),
    }
}

impl Records {
    /// Records without a violation: two requests of one session, a request that ran on two versions
    /// in turn, which it may, and a request that was rejected and did not run.
    fn faultless() -> Self {
        Self {
            document: Deployment::named("nl-centraal").unwrap().document,
            sent: vec![
                call("d1", false, Some("s1"), answered("r1")),
                call("d2", false, Some("s1"), answered("r2")),
                call("d3", true, None, answered("r3")),
                call("d4", false, None, End::NotRun),
            ],
            runs: vec![
                run("r1", "d1", BEST),
                run("r2", "d2", BEST),
                run("r3", "d3", CHEAP),
                run("r3", "d3", BEST),
                Run { outcome: Outcome::Refused, ..run("r4", "d4", BEST) },
            ],
            bills: Bills { bills: ["r1", "r2", "r3"].map(bill).to_vec(), ..Bills::default() },
        }
    }

    fn audit(&self) -> Audit {
        Audit::new(&self.document, &self.sent, &self.runs, &self.bills)
    }
}

#[test]
fn audit_of_a_faultless_record_is_all_zero() {
    assert_eq!(Records::faultless().audit(), Audit::default());
}

#[test]
fn audit_finds_wrong_answers() {
    let mut records = Records::faultless();
    records.sent.push(call("d5", true, None, End::Wrong));
    assert_eq!(records.audit(), Audit { wrong_answers: 1, ..Audit::default() });
}

#[test]
fn audit_finds_doubled_runs_under_another_id() {
    let mut records = Records::faultless();
    let second = Run { outcome: Outcome::Cancelled, ..run("r9", "d2", BEST) };
    records.runs.push(second);
    assert_eq!(records.audit(), Audit { doubled_runs: 1, ..Audit::default() });
}

#[test]
fn audit_finds_disallowed_and_withdrawn_versions() {
    let mut records = Records::faultless();
    records.runs[2].version = "dossier-small-4".into();
    assert_eq!(records.audit(), Audit { disallowed_runs: 1, ..Audit::default() });
    // A withdrawn version is not allowed, even if the account still lists it.
    let account = records.document.accounts.get_mut("letters-desk").unwrap();
    account.versions.push(WITHDRAWN.into());
    records.runs[2].version = WITHDRAWN.into();
    assert_eq!(records.audit(), Audit { disallowed_runs: 1, ..Audit::default() });
}

#[test]
fn audit_finds_moved_sessions() {
    let mut records = Records::faultless();
    records.runs[1].version = CHEAP.into();
    assert_eq!(records.audit(), Audit { sessions_moved: 1, ..Audit::default() });
}

#[test]
fn audit_finds_faults_of_bills() {
    let mut records = Records::faultless();
    records.bills.bills[0] = bill("nobody");
    records.bills.doubled.push("r2".into());
    records.bills.gaps.push("bills/c/0000000001".to_owned());
    let expected = Audit {
        bills_missing: 1,
        bills_doubled: 1,
        bills_unfounded: 1,
        bill_gaps: 1,
        ..Audit::default()
    };
    assert_eq!(records.audit(), expected);
}

#[test]
fn audit_finds_untrue_refusals() {
    let mut records = Records::faultless();
    records.runs.push(run("r4", "d4", BEST));
    assert_eq!(records.audit(), Audit { untrue_refusals: 1, ..Audit::default() });
    // The request was sent twice and ran once: the rejection of the other call is true.
    records.sent.push(call("d4", false, None, answered("r4")));
    records.bills.bills.push(bill("r4"));
    assert_eq!(records.audit(), Audit::default());
}
