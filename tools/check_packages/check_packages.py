#!/usr/bin/env python3
"""Checks that the deployed build uses listed system packages only.

Runs `build` of deploy/system.toml in a checkout, collects every file outside
of it that the compiler, the linker, CMake and the started tools read, asks
dpkg which package owns each, and fails when one is neither listed under
`packages` nor a dependency of a listed package nor essential on Debian.

A build that succeeds here proves little: this machine may hold more packages
than the one that deploys.

Usage: check_packages.py CHECKOUT [--list]
"""

import argparse
import collections
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from build_inputs import BuildError, build_inputs, run_build  # noqa: E402
from debian import Dpkg  # noqa: E402
from deploy_file import DeployFileError, read_deploy_file  # noqa: E402


def unlisted_inputs(inputs, packages, dpkg):
    """Yields a message for each input that `packages` do not bring."""
    brought = dpkg.closure(packages)
    for name in packages:
        if name not in dpkg.installed:
            yield f"{name} is listed but not installed: install it"
    owners_by_path = dpkg.owners({i.path for i in inputs})
    for build_input in inputs:
        owners = owners_by_path[build_input.path]
        # update-alternatives and ldconfig make links that no package holds;
        # the file that such a link leads to is an input of its own.
        if not owners and os.path.islink(build_input.path):
            continue
        if not owners:
            yield (f"{build_input.path} ({build_input.kind}) belongs to no "
                   "package: take it from a Debian package")
        elif not owners & brought:
            names = " or ".join(sorted(owners))
            yield (f"{build_input.path} ({build_input.kind}) belongs to "
                   f"{names}, which `packages` does not bring: list it in "
                   "deploy/system.toml or drop the dependency")


def print_inputs(inputs, packages, dpkg):
    """Prints the inputs of each package: its name, why it is there, files."""
    by_package = collections.defaultdict(list)
    owners_by_path = dpkg.owners({i.path for i in inputs})
    for build_input in inputs:
        for owner in owners_by_path[build_input.path]:
            by_package[owner].append(build_input)
    brought = dpkg.closure(packages)
    for name in sorted(by_package):
        reason = "listed" if name in packages else (
            "dependency" if name in brought else "UNLISTED")
        kinds = collections.Counter(i.kind for i in by_package[name])
        counts = ", ".join(f"{n} {kind}" for kind, n in sorted(kinds.items()))
        example = min(by_package[name], key=lambda i: i.path).path
        print(f"{name} ({reason}): {counts}; such as {example}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("checkout", type=Path)
    parser.add_argument("--list", action="store_true",
                        help="print the packages that the build reads from")
    options = parser.parse_args()
    checkout = options.checkout.resolve()
    try:
        deploy_file = read_deploy_file(checkout / "deploy" / "system.toml")
        run_build(checkout, deploy_file.build)
        inputs = build_inputs(checkout / "target")
    except (DeployFileError, BuildError) as error:
        print(f"check_packages: {error}", file=sys.stderr)
        return 1
    dpkg = Dpkg()
    if options.list:
        print_inputs(inputs, deploy_file.packages, dpkg)
    messages = list(unlisted_inputs(inputs, deploy_file.packages, dpkg))
    for message in messages:
        print(f"check_packages: {message}", file=sys.stderr)
    kinds = collections.Counter(i.kind for i in inputs)
    counts = ", ".join(f"{n} {kind}" for kind, n in sorted(kinds.items()))
    print(f"read by the build: {counts}; not brought: {len(messages)}")
    return 1 if messages else 0


if __name__ == "__main__":
    sys.exit(main())
