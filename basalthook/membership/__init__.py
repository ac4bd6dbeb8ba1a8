"""Who lives: SWIM over datagrams. `member` is the core, sans-I/O; `wire` seals datagrams; `driver` is the
socket.

It knows no hosts. Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process
group membership protocol", 2002; Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more
accurate failure detection", 2018.
"""
