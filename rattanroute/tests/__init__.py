"""Tests of the package.

The code under test logs nothing here, so that failures stand out.
"""

import loguru

loguru.logger.remove()
