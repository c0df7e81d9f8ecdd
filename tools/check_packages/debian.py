"""What dpkg knows: owners of files, and what a list of packages brings.

Answers come from the status of this machine, without a network.
"""

import dataclasses
import glob
import re
import subprocess

# Paths a call of dpkg-query may name; keeps the command line short.
PATHS_PER_CALL = 400

MERGED_FOLDERS = ("/bin/", "/sbin/", "/lib/", "/lib32/", "/lib64/", "/libx32/")


@dataclasses.dataclass
class InstalledPackage:
    """Each dependency is a list of alternatives, the preferred one first."""
    essential: bool = False
    dependencies: list = dataclasses.field(default_factory=list)
    provided: list = dataclasses.field(default_factory=list)


class Dpkg:
    """The packages installed on this machine."""

    def __init__(self):
        self.installed = read_installed()
        self._providers = providers(self.installed)
        self._diversions = read_diversions()

    def closure(self, packages):
        """The names of `packages`, of all they depend on, and essential ones.

        Of alternatives the first one that is installed counts, as that is
        the one a clean machine installs.
        """
        names = {name for name, package in self.installed.items()
                 if package.essential}
        waiting = list(names | set(packages))
        reached = set()
        while waiting:
            name = waiting.pop()
            if name in reached or name not in self.installed:
                continue
            reached.add(name)
            for alternatives in self.installed[name].dependencies:
                waiting.extend(self._chosen(alternatives))
        return reached

    def owners(self, paths):
        """Maps each path to the packages that own it, perhaps none.

        Either spelling of merged /usr counts, and of a path that a package
        diverted the file that stands there now.
        """
        asked = {path: [self._original(spelling)
                        for spelling in spellings(path)] for path in paths}
        found = search(sorted({p for some in asked.values() for p in some}))
        owners = {}
        for path, originals in asked.items():
            diverter = self._diverter(path)
            owners[path] = {diverter} if diverter else set().union(
                *(found.get(original, set()) for original in originals))
        return owners

    def _chosen(self, alternatives):
        for name in alternatives:
            if name in self.installed:
                return [name]
            if self._providers.get(name):
                return self._providers[name]
        return []

    def _diverter(self, path):
        for spelling in spellings(path):
            if spelling in self._diversions:
                return self._diversions[spelling].package
        return None

    def _original(self, path):
        for original, diversion in self._diversions.items():
            if diversion.moved_to == path:
                return original
        return path


@dataclasses.dataclass(frozen=True)
class Diversion:
    """A package's file stands where another package's was to stand."""
    moved_to: str
    package: str


def read_installed():
    """Reads dpkg's status of all installed packages."""
    fields = ("${db:Status-Abbrev}\t${Package}\t${Essential}\t"
              "${Pre-Depends}, ${Depends}\t${Provides}\n")
    installed = {}
    for line in query(["--show", f"--showformat={fields}"]).splitlines():
        status, name, essential, depends, provides = line.split("\t")
        if not status.startswith("ii"):
            continue
        installed[name] = InstalledPackage(
            essential == "yes", parse_relations(depends),
            [names[0] for names in parse_relations(provides)])
    return installed


def parse_relations(text):
    """Parses `a (>= 1), b | c` into [["a"], ["b", "c"]]."""
    relations = []
    for relation in text.split(","):
        names = [re.split(r"[\s(:\[]", part.strip())[0]
                 for part in relation.split("|")]
        if names[0]:
            relations.append(names)
    return relations


def providers(installed):
    """Maps each virtual package to the packages that provide it."""
    found = {}
    for name, package in installed.items():
        for virtual in package.provided:
            found.setdefault(virtual, []).append(name)
    return found


def read_diversions():
    """Maps each diverted path to where it was moved and by which package."""
    lines = subprocess.run(["dpkg-divert", "--list"], capture_output=True,
                           text=True, check=True).stdout
    return parse_diversions(lines)


def parse_diversions(text):
    """Parses the lines of `dpkg-divert --list`."""
    return {original: Diversion(moved_to, package)
            for original, moved_to, package in re.findall(
                r"^diversion of (\S+) to (\S+) by (\S+)$", text,
                re.MULTILINE)}


def spellings(path):
    """A path as a package may list it where /usr is merged."""
    if path.startswith(MERGED_FOLDERS):
        return [path, "/usr" + path]
    if path.startswith("/usr") and path[4:].startswith(MERGED_FOLDERS):
        return [path, path[4:]]
    return [path]


def search(paths):
    """Maps the paths that packages list to the names of those packages."""
    owners = {}
    for start in range(0, len(paths), PATHS_PER_CALL):
        patterns = [re.sub(r"([\[\]*?\\])", r"\\\1", path)
                    for path in paths[start:start + PATHS_PER_CALL]]
        run = subprocess.run(["dpkg-query", "--search", *patterns],
                             capture_output=True, text=True, check=False)
        owners.update(parse_owners(run.stdout))
    return owners


def parse_owners(text):
    """Parses lines `a:amd64, b: /path`; those on diversions are left out."""
    owners = {}
    for line in text.splitlines():
        names, _, path = line.partition(": ")
        if not line.startswith(("diversion by ", "local diversion ")):
            owners[path] = {name.split(":")[0] for name in names.split(", ")}
    return owners


def query(arguments):
    """Runs dpkg-query and returns its standard output."""
    return subprocess.run(["dpkg-query", *arguments], capture_output=True,
                          text=True, check=True).stdout
