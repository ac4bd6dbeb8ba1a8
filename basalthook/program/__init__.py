"""The program: commands, the start-up file, the log, signals."""
