"""Durable files: record files, journals and state files."""
