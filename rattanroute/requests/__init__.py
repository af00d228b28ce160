"""Request handling in the daemon: core, sessions, attempts and refusals."""
