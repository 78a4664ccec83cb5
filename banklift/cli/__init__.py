"""The command line: parses arguments, prints results and sets exit codes."""
