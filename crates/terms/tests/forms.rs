//! Tests that both forms of the settings are read alike, and that errors name the setting and the accepted values.

use serde_json::json;
use trailproxy_terms::{
    FlatSettings, SettingsError, read_dispatcher_settings, read_socket_settings,
};

const TEXT: &str = "az=1\nbalancers=3\nclasses.count=2\nclasses.0.name=small_file\n\
    classes.0.on_time_us=300000\nclasses.0.aim_stretch=1.6\nclasses.0.semantics=repeatable\n\
    classes.0.hard_limit_us=3000000\nclasses.1.name=order\nclasses.1.on_time_us=800000\n\
    classes.1.semantics=by_key\nclasses.1.group=zone\nclasses.1.repeat_window_us=2000000\n\
    classes.1.hard_limit_us=5000000\nceilings.max_attempts=6\nceilings.cancel=true\n\
    ceilings.retry_after=true\nceilings.max_retry_after_us=2000000\nceilings.dial_timeout_us=400000\n\
    ceilings.idle_close_us=30000000\nceilings.max_streams=32\nceilings.max_open=20000\n\
    failure_domains=hub,depot\nmachine_types=cache,parent,origin\nfamily_info.second_tier_kind=1\n\
    family_info.master_kind=2\nfamily_info.parent_starts_at=0.082\nfamily_info.parent_ramp_us=20000000\n\
    family_info.upper_fall_multiple=2.0\nfamily_info.stream_kb_per_s=3600.0\n\
    family_info.feed_kb_per_s=0.0,35168.5\nfamily_info.seats_by_zone=0,3\n\
    family_info.max_age_us=8000000,0\nfamily_info.usable_after_us=20000000,0\n\
    family_info.never_kept=false,true\nrules.cold_us=14000000\nrules.start_capacity=0.25\n\
    rules.overload_factor=4.0\nrules.tip_after_us=1000000\ncustomers=\n";

fn nested() -> serde_json::Value {
    json!({
        "az": 1, "balancers": 3, "customers": [], "weights": null, "report": null, "failure_domains": ["hub", "depot"],
        "machine_types": ["cache", "parent", "origin"],
        "classes": [
            {"name": "small_file", "on_time_us": 300000, "aim_stretch": 1.6, "semantics": "repeatable",
                "hard_limit_us": 3000000},
            {"name": "order", "on_time_us": 800000, "semantics": "by_key", "group": "zone",
                "repeat_window_us": 2000000.0, "hard_limit_us": 5000000}
        ],
        "ceilings": {"max_attempts": 6, "cancel": true, "retry_after": true,
            "max_retry_after_us": 2000000, "dial_timeout_us": 400000, "idle_close_us": 30000000,
            "max_streams": 32, "max_open": 20000, "may_probe": null},
        "family_info": {"second_tier_kind": 1, "master_kind": 2, "parent_starts_at": 0.082,
            "parent_ramp_us": 20000000, "upper_fall_multiple": 2.0, "stream_kb_per_s": 3600.0,
            "feed_kb_per_s": [0.0, 35168.5], "seats_by_zone": [0, 3], "max_age_us": [8000000, 0],
            "usable_after_us": [20000000, 0], "never_kept": [false, true]},
        "rules": {"cold_us": 14000000, "start_capacity": 0.25, "overload_factor": 4.0,
            "tip_after_us": 1000000}
    })
}

#[test]
fn both_forms_give_the_same_settings() {
    let (text, json) = (
        FlatSettings::from_text(TEXT),
        FlatSettings::from_json(&nested()),
    );
    let both = [&text, &json].map(|lines| {
        let (settings, bounds) = (read_dispatcher_settings(lines), read_socket_settings(lines));
        format!(
            "{:?} {:?}",
            settings.expect("settings"),
            bounds.expect("bounds")
        )
    });
    assert_eq!(both[0], both[1]);
    for expected in [
        "link_kb_per_s: Some(35168.5)",
        "group: Zone",
        "\"small_file\"",
        "TimeSpan(5000000)",
    ] {
        assert!(both[0].contains(expected), "{expected} in {}", both[0]);
    }
}

#[test]
fn names_are_read_exactly_as_the_settings_have_them() {
    let mut settings = nested();
    settings["classes"][0]["name"] = json!("small file, new");
    settings["failure_domains"] = json!(["hub no. 1", "depot, east", "ü"]);
    settings["machine_types"] = json!(["cache", "big, old", "origin"]);
    let bounds = read_socket_settings(&FlatSettings::from_json(&settings)).expect("bounds");
    assert_eq!(bounds.class_names, ["small file, new", "order"]);
    assert_eq!(bounds.zone_names, ["hub no. 1", "depot, east", "ü"]);
    assert_eq!(bounds.kind_names, ["cache", "big, old", "origin"]);
}

#[test]
fn an_error_names_the_setting_and_the_accepted_values() {
    let error_for = |pointer: &str, value| {
        let mut settings = nested();
        *settings.pointer_mut(pointer).expect("a setting") = value;
        let SettingsError(reason) =
            read_dispatcher_settings(&FlatSettings::from_json(&settings)).expect_err("it is wrong");
        reason
    };
    assert_eq!(
        error_for("/az", json!("x")),
        "setting az can't be read: \"x\""
    );
    assert_eq!(
        error_for("/balancers", json!(null)),
        "setting balancers is missing"
    );
    assert!(error_for("/classes/1/semantics", json!("twice")).contains("\"twice\" of class 1"));
    assert!(
        error_for("/family_info/seats_by_zone", json!(["y"]))
            .contains("seats_by_zone has an unreadable")
    );
    assert_eq!(
        error_for("/weights", json!("heavy")),
        "setting weights is \"heavy\"; accepted are silent, nominal, rough, live"
    );
    assert_eq!(
        error_for("/ceilings/may_probe", json!("often")),
        "setting ceilings.may_probe is \"often\"; accepted are true, false"
    );
    let report = |via: &str, fields| json!({"via": via, "fields": fields});
    assert!(
        error_for("/report", report("often", json!([]))).contains("are piggyback, pull, silent")
    );
    assert!(
        error_for("/report", report("piggyback", json!(["load"])))
            .contains("\"load\"; accepted are")
    );
}

#[test]
fn probes_need_permission_and_reports_are_read_by_their_fields() {
    let read = |via: &str, may: bool| {
        let mut settings = nested();
        settings["report"] = json!({"via": via, "fields": ["inflight", "util", "x1", "x0"]});
        settings["ceilings"]["may_probe"] = json!(may);
        settings["weights"] = json!("silent");
        read_dispatcher_settings(&FlatSettings::from_json(&settings)).expect("settings")
    };
    let (settings, reports) = read("pull", true);
    assert!(
        settings.probes_enabled && settings.link_load_reported && !settings.capacities_reported
    );
    let load = reports.load(&[3.0, 0.5, 1.25, 0.7]);
    assert_eq!(
        (load.utilization, load.link_utilization),
        (Some(0.5), Some(1.25))
    );
    assert_eq!(
        reports.load(&[3.0, -1.0]).utilization,
        None,
        "utilization is never negative"
    );
    let (settings, reports) = read("pull", false);
    assert!(!settings.probes_enabled && !settings.link_load_reported);
    assert_eq!(reports.load(&[3.0, 0.5, 1.25, 0.7]).utilization, None);
    let (settings, _) = read("piggyback", true);
    assert!(!settings.probes_enabled && settings.link_load_reported);
}
