"""The adapter to the simulator's wire protocol: a codec and a process loop. It makes no routing decisions."""
