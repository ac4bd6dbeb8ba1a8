"""Benchmarks that compare this project with earlier versions of itself; `serve` does not use them."""
