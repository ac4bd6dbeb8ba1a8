"""Operators' configuration files: typed and validated as a whole; errors name the path of the field."""
