//! Stand-ins and clients of the scripts of the second review.
//!
//! `review-standins-2 CASE RECORD` plays a case and writes its record. The exit status is 0 if the
//! rule was kept, 1 if it was broken and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the case is played without its disruption.

mod crowd;
mod http;
mod json;
mod log;
mod memory;
mod platform;
mod record;
mod registration;
mod store;
mod versions;

use std::{path::Path, process::ExitCode, time::Duration};

use record::Record;

const COULD_NOT_RUN: u8 = 2;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        return ExitCode::from(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    platform::limit_time(TIME_LIMIT, COULD_NOT_RUN.into());
    let record = Record::create(Path::new(&path));
    let play = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "crowd" => crowd::run(trouble, &record),
        "registration" => registration::run(trouble, &record),
        "log" => log::run(trouble, &record),
        "memory" => memory::run(trouble, &record),
        "versions" => versions::run(trouble, &record),
        _ => None,
    }));
    match play {
        Ok(Some(true)) => {
            record.say("the rule was kept");
            ExitCode::SUCCESS
        }
        Ok(Some(false)) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(None) | Err(_) => {
            record.say("the case could not run");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
