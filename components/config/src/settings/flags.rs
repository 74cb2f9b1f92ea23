use argh::FromArgs;
use std::env;
use std::process::ExitCode;

/// The exit code of `chervilspurd` and `chervilspur` for an invalid flag or setting.
pub const BAD_SETTING_EXIT_CODE: u8 = 2;

/// Parses the flags of this process. For `--help` or an invalid flag prints the help or the error
/// and returns the exit code.
pub fn process_flags<T: FromArgs>(program: &str) -> Result<T, ExitCode> {
    let args: Vec<String> =
        env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    T::from_args(&[program], &args).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun {program} --help for more information.", early.output);
            ExitCode::from(BAD_SETTING_EXIT_CODE)
        }
    })
}
