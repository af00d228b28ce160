"""Command-line tools for operators, demos, tests and benchmarks."""
