//! Valid features files, and the errors for invalid ones.

use super::*;
use crate::config::tests::SETTINGS;

fn parse(text: &str) -> Result<Features, String> {
    let config = Config::parse("s.toml", SETTINGS).expect("the sample settings are valid");
    Features::parse("f.toml", text, &config).map_err(|error| error.to_string())
}

#[test]
fn an_empty_file_enables_nothing() {
    let features = parse("").expect("an empty file is valid");
    assert_eq!(features, Features::default());
    assert!(!features.drain.enabled);
}

#[test]
fn budgets_are_numbers_or_shares() {
    let text = "[drain]\nenabled = true\nstep = \"10%\"\nbudget = \"2\"\n\
        [drain.teams.red]\nbudget = \"12.5%\"\nclasses = { lookup = \"0\" }\n";
    let features = parse(text).expect("the file is valid");
    let red = &features.drain.teams["red"];
    assert_eq!(red.budget, Some(Limit::Share { basis_points: 1250 }));
    assert_eq!(red.classes["lookup"], Limit::Count(0));
    assert_eq!(features.drain.step, Limit::Share { basis_points: 1000 });
}

#[test]
fn an_error_is_one_line_with_its_position() {
    let cases = [
        (
            "[drain]\nenabled = true\nsteps = \"2\"\n",
            "f.toml:3: unknown field `steps`, expected one of `enabled`, `step`, `budget`, `room_timeout_s`, `replacement_timeout_s`, `teams`",
        ),
        (
            "[draining]\nenabled = true\n",
            "f.toml:1: unknown field `draining`, expected `drain`",
        ),
        (
            "[drain]\nenabled = \"yes\"\n",
            "f.toml:2: invalid type: string \"yes\", expected a boolean",
        ),
        (
            "[drain]\n\nbudget = \"120%\"\n",
            "f.toml:3: `120%` is no limit: a number such as 3, or a share from 0% to 100% such as 12.5%",
        ),
        (
            "[drain]\nroom_timeout_s = 0.5\n",
            "f.toml:2: must be from 1 to 86400 seconds, not 0.5",
        ),
        (
            "[drain]\nenabled = true\nstep = \"0\"\n",
            "f.toml:3: `step` must be at least 1, or a share",
        ),
        (
            "[drain]\nenabled = true\n[drain.teams.green]\nbudget = \"1\"\n",
            "f.toml:3: there is no team `green`, only red, blue",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(parse(text).expect_err(text), expected, "{text}");
    }
}
