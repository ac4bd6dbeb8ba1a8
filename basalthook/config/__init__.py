"""Operators' own files: typed, checked whole, one error with its path. Loaded only where one is named."""
