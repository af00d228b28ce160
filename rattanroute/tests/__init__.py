"""Tests of the package.

Logging of the code under test is off, so that failures stand out.
"""

import loguru

loguru.logger.remove()
