//! Shares of teams in a pool that has too few slots.

use geraniummux_core::Time;
use geraniummux_core::fleet::{TeamShares, TeamTerms};
use std::sync::Arc;
use std::time::Duration;

const START: Time = Time::from_millis(1_000_000);

fn terms(team: &str, weight: f32) -> TeamTerms {
    TeamTerms { team: team.into(), needs_token: false, weight }
}

/// Returns the teams in excess after each team has had some requests of 100 ms granted.
fn in_excess(teams: &[(&str, f32, usize)]) -> Vec<Arc<str>> {
    let mut shares = TeamShares::default();
    for (team, weight, granted) in teams {
        let terms = terms(team, *weight);
        for _ in 0..*granted {
            shares.on_arrival(START, &terms);
            shares.on_grant(START, &terms.team, Duration::from_millis(100));
        }
    }
    shares.in_excess(START + Duration::from_millis(10))
}

/// Guards against a large team that is cut to the size of the small ones.
#[test]
fn in_excess_large_team_at_its_usual_load_is_not() {
    assert_eq!(in_excess(&[("large", 300.0, 190), ("mid", 100.0, 62), ("small", 10.0, 6)]), []);
}

/// Guards against a team that sends many times its usual load and takes the slots of the others.
#[test]
fn in_excess_hot_team_is() {
    let teams = [("hot", 30.0, 100), ("large", 300.0, 190), ("small", 10.0, 6)];
    assert_eq!(in_excess(&teams), ["hot".into()]);
}

/// Guards against a hot team without an allowance, whose size is what it usually sends.
#[test]
fn in_excess_hot_team_without_allowance_is() {
    let mut shares = TeamShares::default();
    let (calm, hot) = (terms("calm", 0.0), terms("hot", 0.0));
    for step in 0..4_000_u64 {
        let now = START + Duration::from_millis(step * 10);
        let is_burst = step > 3_800;
        let mut send = |t: &TeamTerms| {
            shares.on_arrival(now, t);
            shares.on_grant(now, &t.team, Duration::from_millis(100));
        };
        if step % 4 == 0 {
            send(&calm);
        }
        if step % 4 == 1 || is_burst {
            send(&hot);
        }
    }
    let now = START + Duration::from_millis(40_000);
    assert_eq!(shares.in_excess(now), ["hot".into()]);
}

/// Guards against a team that is left out for good once it was in excess.
#[test]
fn in_excess_after_pause_ends() {
    let mut shares = TeamShares::default();
    let (hot, calm) = (terms("hot", 10.0), terms("calm", 10.0));
    for _ in 0..50 {
        shares.on_grant(START, &hot.team, Duration::from_millis(100));
    }
    shares.on_arrival(START, &hot);
    shares.on_arrival(START, &calm);
    assert_eq!(shares.in_excess(START), ["hot".into()]);
    for step in 0..40 {
        let now = START + Duration::from_millis(step * 100);
        shares.on_grant(now, &calm.team, Duration::from_millis(100));
    }
    assert!(!shares.in_excess(START + Duration::from_secs(4)).contains(&hot.team));
}
