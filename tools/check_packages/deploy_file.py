"""What the deploy file says of the build."""

import dataclasses
import tomllib


class DeployFileError(Exception):
    """The deploy file cannot be used; the message names the remedy."""


@dataclasses.dataclass(frozen=True)
class DeployFile:
    """The shell command that builds, and the Debian packages it needs."""
    build: str
    packages: list


def read_deploy_file(path):
    """Reads and checks `build` and `packages` of a deploy file."""
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise DeployFileError(f"{path}: {error}") from error
    build = fields.get("build")
    packages = fields.get("packages")
    if not isinstance(build, str) or not build:
        raise DeployFileError(f"{path}: name the command `build`")
    if (not isinstance(packages, list)
            or not all(isinstance(name, str) for name in packages)):
        raise DeployFileError(f"{path}: list `packages` as texts")
    return DeployFile(build, packages)
