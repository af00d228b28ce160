"""What each program does once it has started."""

import gc

# Allocations before a collection of the youngest generation, and collections
# before one of the next generation.
COLLECTION_THRESHOLDS = (2_000, 5, 50)


def freeze_startup_objects() -> None:
    """Takes the objects of the start out of garbage collection.

    A full collection over the imported modules stopped the loop for up to
    120 ms, which was the 99th percentile of the time to the first token.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
