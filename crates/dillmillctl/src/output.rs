//! Printing to a reader that may have gone away.

/// Prints a line; ends the program as done when nobody reads any more, as in `dillmillctl … | head`.
macro_rules! outln {
    ($($arg:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($arg)*)))
    };
}

/// As [`outln`], without a line end.
macro_rules! out {
    ($($arg:tt)*) => {
        $crate::output::write(format_args!($($arg)*))
    };
}

pub(crate) use {out, outln};

/// Writes to standard output.
pub(crate) fn write(text: std::fmt::Arguments<'_>) {
    use std::io::Write;
    if std::io::stdout().write_fmt(text).is_err() {
        std::process::exit(0);
    }
}
