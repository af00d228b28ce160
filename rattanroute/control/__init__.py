"""The control plane of a VM and the hosts of its subsystems."""
