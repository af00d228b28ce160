"""Keeps the C allocator from retaining freed memory."""

import ctypes

# Parameter of mallopt (malloc.h).
M_MMAP_THRESHOLD = -3
# Larger blocks are mapped on their own and returned when they are freed. The
# allocator's default has the same value at first, but grows with each block
# that is freed; bodies that grow and received bytes then fragment the heap:
# 600 incomplete bodies took 150 MB within a budget of 46 MB, 93 MB with the
# fixed value.
MMAP_THRESHOLD_BYTES = 131_072


def keep_large_blocks_mapped() -> None:
    """Fixes the size from which blocks are mapped on their own.

    Does nothing with a C library that has no such parameter.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


def release_free_memory() -> None:
    """Returns free memory of the heap to the system, if the C library can."""
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if malloc_trim is not None:
        malloc_trim(0)
