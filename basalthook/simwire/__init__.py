"""The adapter for the bench's wire: a codec and a process loop, no decisions."""
