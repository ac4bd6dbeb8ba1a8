"""Group membership: SWIM over UDP. `member` is the protocol without I/O, `wire` encodes and authenticates
datagrams, `driver` is the socket. The package knows nothing of hosts.

Sources: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
protocol", 2002; Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more accurate failure
detection", 2018.
"""
