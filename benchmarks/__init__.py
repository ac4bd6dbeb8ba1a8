"""Measurements of this project against its own earlier states. Never run by the tests or by `serve`."""
