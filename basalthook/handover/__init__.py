"""Upgrades without downtime: the inherited socket, state for the successor, and which process serves."""
