"""Messages that daemons send to each other, a module per subsystem."""
