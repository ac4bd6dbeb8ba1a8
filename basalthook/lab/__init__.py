"""The test lab: models of hosts, clients, discovery and faults, and an independent judge.

A plain `serve` imports nothing of it. `scenario` defines the scenario files, `model` is the machine behind a
host, `standins` puts `endpoints` and `discovery` on loopback sockets, `load` sends transactions on a
schedule, `wire` defines the record of what crossed the wire, and `judge` checks the four rules by that
record alone.

A scenario runs at one of three depths: `decisions` in virtual time, `sockets` (module `trial`) with one proxy
in this process, and `processes` with a process per proxy.
"""
