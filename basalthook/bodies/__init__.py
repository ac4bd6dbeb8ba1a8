"""Bodies of any size: a memory budget for collected request bodies, and forwarding of streamed responses."""
