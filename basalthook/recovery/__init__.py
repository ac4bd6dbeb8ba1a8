"""Rules for overload, failures of discovery and restarts. Pure: no I/O, no clock."""
