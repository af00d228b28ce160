"""Tuning of garbage collection after the start of a process."""

import gc

# Allocations before a collection of the youngest generation, then collections
# of one generation before a collection of the next.
COLLECTION_THRESHOLDS = (2_000, 5, 50)


def enable_collection() -> None:
    """Enables garbage collection after imports that ran without it.

    The imported objects are excluded, as the first collection would otherwise
    visit all of them. Imports produce little garbage, but collections during
    the imports took a tenth of their processor time.
    """
    gc.freeze()
    gc.enable()


def freeze_startup_objects() -> None:
    """Excludes the objects created at startup from garbage collection.

    A full collection over the imported modules blocked the event loop for up
    to 120 ms, which was the 99th percentile of the time to the first token.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
