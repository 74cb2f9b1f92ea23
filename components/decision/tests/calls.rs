//! Calls of plain services against the limits of client accounts.

use decision::Millis;
use decision::load::{AccountLimits, Arrival, Scheduler, SchedulerConfig};
use errors::{Reason, Verdict};
use rstest::rstest;

fn scheduler() -> Scheduler {
    Scheduler::new(SchedulerConfig { check_invariants: true, ..SchedulerConfig::default() })
}

fn booking(account: &str, limits: AccountLimits) -> Arrival {
    Arrival {
        account: account.to_string(),
        class: String::from("booking"),
        serves: String::from("booking"),
        limits,
        ..Arrival::default()
    }
}

#[rstest]
#[case::streams(AccountLimits { streams: 2, ..AccountLimits::default() }, 2)]
#[case::requests(AccountLimits { requests_per_minute: 12, ..AccountLimits::default() }, 3)]
fn scheduler_refuses_calls_beyond_the_limits_of_an_account(
    #[case] limits: AccountLimits,
    #[case] allowed: usize,
) {
    let mut scheduler = scheduler();
    let call = booking("campo", limits);
    for _ in 0..allowed {
        scheduler.start_call(&call, Millis(0)).unwrap();
    }
    let refusal = scheduler.start_call(&call, Millis(0)).unwrap_err();
    assert_eq!((refusal.reason, refusal.verdict), (Reason::LimitReached, Verdict::NotRun));
    assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 0), "{refusal:?}");
    scheduler.start_call(&booking("bothy", limits), Millis(0)).unwrap();
    scheduler.tick(Millis(0));
}

#[test]
fn account_can_call_again_after_its_call_has_ended() {
    let mut scheduler = scheduler();
    let call = booking("campo", AccountLimits { streams: 1, ..AccountLimits::default() });
    for now in 0..50 {
        scheduler.start_call(&call, Millis(now)).unwrap();
        assert!(scheduler.start_call(&call, Millis(now)).is_err());
        scheduler.end_call(&call);
        scheduler.tick(Millis(now));
    }
}
