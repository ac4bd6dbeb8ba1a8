"""basalthook: a load balancer that lives in every client process."""

VERSION = "0.2.0"
