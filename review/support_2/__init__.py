"""Stand-ins and process handling of the cases of the second review."""
