"""The path of a request through the daemon: sessions, attempts, refusals."""
