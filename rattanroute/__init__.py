"""Router for inference pipelines over mixed accelerators."""

VERSION = "0.1.0"
