//! Runs a case of the review with stand-ins for the platform, its servers and its clients.
//!
//! `review_case CASE RECORD`, from the root of the repository. Exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod cases;
mod http;
mod instance;
mod json;
mod record;
mod relay;
mod server;
mod setup;
mod store;

use std::{env, path::PathBuf, process, thread, time::Duration};

use setup::Setup;

/// Time after which a case that has not ended counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut args = env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("expected: review_case CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        instance::give_up("the case takes too long");
    });
    let setup = Setup::new(&record);
    let is_broken = match case.as_str() {
        "order" => cases::order::run(&setup, has_trouble),
        "gone" => cases::gone::run(&setup, has_trouble),
        "refused" => cases::refused::run(&setup, has_trouble),
        "quota" => cases::quota::run(&setup, has_trouble),
        "foreign" => cases::foreign::run(&setup, has_trouble),
        _ => {
            eprintln!("no case {case}");
            drop(setup);
            process::exit(2);
        }
    };
    drop(setup);
    process::exit(i32::from(is_broken));
}
