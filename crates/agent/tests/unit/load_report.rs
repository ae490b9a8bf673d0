use super::parse_load_report;

#[test]
fn values_are_in_the_order_of_the_settings() {
    let fields = ["qps", "queue"].map(String::from);
    assert_eq!(parse_load_report("TEXT queue=2, novel=1, qps=40.5", &fields), Some(vec![40.5, 2.0]));
    let partial = parse_load_report("queue=x,,=,qps=1", &fields).expect("one valid value");
    assert_eq!(partial[0], 1.0);
    assert!(partial[1].is_nan());
    for text in ["", "TEXT", "TEXT queue=NaN", "novel=1", "queue"] {
        assert_eq!(parse_load_report(text, &fields), None, "{text}");
    }
}
