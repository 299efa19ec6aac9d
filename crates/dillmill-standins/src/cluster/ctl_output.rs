/// The exit code and output of one run of `dillmillctl`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CtlOutput {
    /// Exit code, or -1 if a signal ended the program.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}
