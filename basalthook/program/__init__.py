"""The program: command line, start-up file, log and signals."""
