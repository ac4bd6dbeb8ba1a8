"""The decisions, and the types that pass in and out of them."""
