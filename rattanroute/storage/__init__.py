"""Files that outlive a process: records, journals, state."""
