//! Output to standard output whose reader may have closed the pipe.

/// Prints a line. When the reader has closed the pipe, as in `dillmillctl … | head`, the program exits with
/// code 0.
macro_rules! outln {
    ($($arg:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($arg)*)))
    };
}

/// Like [`outln`], without a trailing newline.
macro_rules! out {
    ($($arg:tt)*) => {
        $crate::output::write(format_args!($($arg)*))
    };
}

pub(crate) use {out, outln};

/// Writes to standard output; exits with code 0 if that fails, as the reader is gone.
pub(crate) fn write(text: std::fmt::Arguments<'_>) {
    use std::io::Write;
    if std::io::stdout().write_fmt(text).is_err() {
        std::process::exit(0);
    }
}
