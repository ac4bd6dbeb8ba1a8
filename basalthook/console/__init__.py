"""The admin address, for operators: its HTTP API and its server."""
