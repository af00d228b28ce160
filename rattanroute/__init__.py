"""Router for inference requests over heterogeneous accelerators."""

VERSION = "0.1.0"
