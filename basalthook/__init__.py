"""basalthook: a load balancer that runs as a proxy beside every client process."""

VERSION = "0.2.0"
