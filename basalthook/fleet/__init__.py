"""What all proxies hold together: shared facts, each with its age; evidence on hosts; verdicts from it. Pure.

`facts` is the table, `evidence` what this proxy saw, `verdicts` what follows from all that is told, `talk`
binds them to the members' datagrams. None of it opens a socket, reads a clock or draws a chance of its own.
"""
