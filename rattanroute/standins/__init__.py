"""Stand-in targets for the demo, the tests and the benchmarks."""
