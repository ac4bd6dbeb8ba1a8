"""The decisions of one client proxy, and the types that pass in and out of them.

`decide.Proxy.handle` takes an event of interface.py (a host list, an arrival, the end of an attempt, a timer,
a verdict) and returns effects. A host list goes to hosts.py, host by host: which are ready, how large, how
cold. An arrival starts a transaction in the state machine of decide.py: it is sent, queued, or rejected at
once. To send it, `pick_host` goes through the key's hosts in order (weighted rendezvous hashing): do the
rules allow it (drains, placement, repeat groups, slow start: rules.py), is the host suspect (outlier
ejection, backoff, silence), does it have capacity (a concurrency limit by Little's law); of the first two
left, the one with fewer of our open attempts is chosen. The end of an attempt goes to `record_outcome`: a
fault of the host (ban), a throttle (backoff) or the transaction's own. Whether it may be tried again is a
separate question, which `may_attempt` answers. If not, the client gets a rollback where running it again is
harmless, else it is abandoned. A timer looks again at the queue and at hosts whose exclusion ends. decide.py,
hosts.py and rules.py hold every rule and every constant; records.py holds fields, measure.py counts and
hashes (tests/test_policy.py checks this).

Terms: hard limit (deadline), service goal (latency objective), ban (outlier ejection), rest (backoff from an
overloaded host), cold host (in slow start), slowdown (latency divided by the latency with little queueing).
"""
