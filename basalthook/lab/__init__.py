"""The project's own model of what it serves: hosts, clients, discovery, faults, and an independent judge.

A plain `serve` imports nothing of it. `scenario` says what is played, `model` is the machine behind a host,
`standins` puts `endpoints` and `discovery` on loopback sockets, `load` asks by a schedule, `wire` notes what
crossed, `judge` decides the four rules from that alone, `trial` plays a scenario against one proxy in this
process.
"""
