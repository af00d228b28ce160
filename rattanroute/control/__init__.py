"""Control plane of a VM and the hosts that run its subsystems."""
