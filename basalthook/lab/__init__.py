"""The test lab: models of hosts, clients, discovery and faults, and an independent judge.

A plain `serve` imports nothing of it. `scenario` defines the scenario files, `model` is the machine behind a
host, `standins` puts `endpoints` and `discovery` on loopback sockets, `load` sends transactions on a
schedule, `wire` defines the record of what crossed the wire, `judge` checks the four rules by that
record alone, and `trial` runs a scenario with one proxy in this process.
"""
