"""Rules beside the decisions for when things go wrong at large; pure, no I/O, no clock."""
