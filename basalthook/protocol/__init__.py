"""HTTP/1.1 and the application's, hosts' and discovery's messages; no I/O."""
