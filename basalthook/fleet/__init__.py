"""State that all proxies share: replicated facts with ages, verdicts on hosts, and limits over the fleet.

`facts` is the replicated table and `gossip` its exchange with other members; `evidence` is what this proxy
saw at hosts and `verdicts` what follows from all reports; `limits` enforces fleet-wide limits by leases from
an elected leader. No module here opens a socket, reads a clock or seeds a random generator.
"""
