"""basalthook: a load balancer that lives in every client process."""
