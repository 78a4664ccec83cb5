"""The command line: arguments in, exit codes out."""
