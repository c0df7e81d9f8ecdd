"""The files outside a checkout that its build reads.

Four sources name them: the compiler's dependency output as Ninja keeps it,
the linker's trace, CMake's file interface, and the commands of the build.
"""

import dataclasses
import json
import os
import re
import shlex
import shutil
import subprocess
import tempfile
from pathlib import Path

# What the build printed is kept under this name in its target folder.
BUILD_LOG = "build.log"

# What the driver starts on its own for a C++ file.
COMPILER_STEPS = ("cc1plus", "collect2", "as", "ld")


class BuildError(Exception):
    """The build or a look at it failed; the message shows the end of it."""


@dataclasses.dataclass(frozen=True, order=True)
class BuildInput:
    """A file and what read it: header, library, cmake or tool."""
    path: str
    kind: str


def run_build(checkout, command):
    """Runs the deploy file's command with the environment of a clean login."""
    query = checkout / "target" / ".cmake" / "api" / "v1" / "query"
    query.mkdir(parents=True, exist_ok=True)
    (query / "cmakeFiles-v1").touch()
    run = subprocess.run(["sh", "-c", command], cwd=checkout,
                         env=clean_environment(), stdin=subprocess.DEVNULL,
                         stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                         text=True, check=False)
    (checkout / "target" / BUILD_LOG).write_text(run.stdout)
    if run.returncode != 0:
        raise BuildError(f"`build` failed:\n{run.stdout[-4000:]}")


def build_inputs(target):
    """Returns the sorted inputs of a finished build outside its checkout."""
    checkout = str(target.parent) + os.sep
    found = set()
    found |= headers(target)
    found |= cmake_files(target)
    commands = built_commands(target)
    found |= tools(commands, target)
    found |= libraries(commands, target)
    return sorted(i for i in found if not i.path.startswith(checkout))


def headers(target):
    """What the compiler read, by Ninja's record of its dependency output."""
    paths = set()
    for line in output(["ninja", "-C", str(target), "-t", "deps"]).splitlines():
        if line.startswith("    "):
            paths.add(line.strip())
    return inputs(paths, "header", target)


def cmake_files(target):
    """What CMake read to configure, by its file interface."""
    replies = sorted((target / ".cmake/api/v1/reply").glob("cmakeFiles-v1-*"))
    if not replies:
        raise BuildError("CMake answered no query: version 3.20 or later?")
    reply = json.loads(replies[-1].read_text())
    source = Path(reply["paths"]["source"])
    return inputs({str(source / i["path"]) for i in reply["inputs"]},
                  "cmake", target)


def built_commands(target):
    """The commands of all that Ninja has built, each as its words."""
    built = re.findall(r"^\S+\t\S+\t\S+\t(\S+)\t",
                       (target / ".ninja_log").read_text(), re.MULTILINE)
    in_graph = {line.rsplit(": ", 1)[0] for line in output(
        ["ninja", "-C", str(target), "-t", "targets", "all"]).splitlines()}
    names = sorted(name for name in set(built) if name in in_graph)
    text = output(["ninja", "-C", str(target), "-t", "commands", *names])
    commands = []
    for line in text.splitlines():
        for part in re.split(r"\s(?:&&|\|\||;)\s", line):
            words = shlex.split(part)
            if words and words != [":"]:
                commands.append(words)
    return commands


def tools(commands, target):
    """The programs that the build starts, the compiler's steps with them."""
    programs = {words[0] for words in commands}
    programs |= {"cmake", "ninja", "sh"}
    for words in commands:
        if "-c" in words:
            for step in COMPILER_STEPS:
                programs.add(output(
                    [words[0], f"-print-prog-name={step}"]).strip())
    paths = {shutil.which(program) for program in programs} - {None}
    return inputs(paths, "tool", target)


def libraries(commands, target):
    """What the linker read, and what the linked programs load at run time."""
    paths = set()
    for words in commands:
        if "-c" in words or "-o" not in words or words[0].endswith("cmake"):
            continue
        program = words[words.index("-o") + 1]
        paths |= linked_files(words, target)
        paths |= loaded_files(target / program)
    return inputs(paths, "library", target)


def linked_files(words, target):
    """Repeats one link with the linker's trace, into a file of its own."""
    with tempfile.TemporaryDirectory() as folder:
        repeated = list(words)
        repeated[words.index("-o") + 1] = os.path.join(folder, "program")
        trace = output([*repeated, "-Wl,--trace"], target)
    return {member.split("(")[0] for member in trace.splitlines()
            if not member.startswith(tempfile.gettempdir())}


def loaded_files(program):
    """The shared libraries that the dynamic linker finds for a program."""
    lines = output(["ldd", str(program)])
    return set(re.findall(r"(/\S+) \(0x", lines))


def inputs(paths, kind, folder):
    """Makes inputs of paths, which start at `folder` where they are relative.

    Each symbolic link on the way is an input of its own, since it may come
    from another package than the file: libz.so is in the -dev package,
    libz.so.1 in the library's.
    """
    found = set()
    for path in paths:
        for step in link_steps(os.path.join(folder, path)):
            found.add(BuildInput(step, kind))
    return found


def link_steps(path):
    """The links from a path to its file and the file, folders resolved."""
    steps = []
    while True:
        folder, name = os.path.split(path)
        path = os.path.join(os.path.realpath(folder), name)
        steps.append(path)
        if not os.path.islink(path):
            return steps
        path = os.path.join(os.path.dirname(path), os.readlink(path))


def clean_environment():
    """The variables that a deploying machine passes on."""
    return {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
            if name in os.environ}


def output(command, folder=None):
    """Runs a command to its end and returns its standard output."""
    run = subprocess.run(command, cwd=folder, env=clean_environment(),
                         capture_output=True, text=True, check=False)
    if run.returncode != 0:
        raise BuildError(f"{shlex.join(command[:4])} failed: "
                         f"{run.stderr[-2000:]}")
    return run.stdout
