"""Start the sidecar from a checkout, without an installation.

The script's own folder comes first on `sys.path`, so that the package
`ragwortstand.platform` does not hide the standard library's `platform`.
"""

import pathlib
import sys

sys.path.insert(1, str(pathlib.Path(__file__).parent.parent / 'src'))

from ragwortstand.platform.program import main

if __name__ == '__main__':
    sys.exit(main())
