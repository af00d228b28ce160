"""HTTP/1.1 that keeps the bytes of callers and targets unchanged."""
