#!/usr/bin/env python3
"""Tests of the check for unlisted packages, on a small project of its own."""

import os
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import debian  # noqa: E402
from build_inputs import BuildError, build_inputs, run_build  # noqa: E402
from check_packages import unlisted_inputs  # noqa: E402
from deploy_file import DeployFileError, read_deploy_file  # noqa: E402

BUILD = "cmake -S . -B target -G Ninja && cmake --build target"
PACKAGES = ["cmake", "g++", "libxxhash-dev", "libzstd-dev", "ninja-build"]
DPKG = debian.Dpkg()


def write_project(folder, source="", cmake=""):
    """A program that uses one library and one library of headers only."""
    (folder / "main.cpp").write_text(textwrap.dedent(f"""
        #define XXH_INLINE_ALL
        #include <xxhash.h>
        #include <zstd.h>
        {source}
        int main() {{ return ZSTD_versionNumber() == XXH64("a", 1, 0); }}
    """))
    (folder / "CMakeLists.txt").write_text(textwrap.dedent("""
        cmake_minimum_required(VERSION 3.25)
        project(small LANGUAGES CXX)
        add_executable(small main.cpp)
        target_link_libraries(small PRIVATE zstd)
    """) + textwrap.dedent(cmake))


def messages_of(packages, source="", cmake=""):
    """Builds the project and returns what the check says, joined."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name).resolve()
        write_project(folder, source, cmake)
        run_build(folder, BUILD)
        found = build_inputs(folder / "target")
        return "\n".join(unlisted_inputs(found, packages, DPKG))


class check_packages_test(unittest.TestCase):

    def test_a_whole_list_passes(self):
        self.assertEqual("", messages_of(PACKAGES))

    def test_each_package_taken_out_is_missed(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name).resolve()
            write_project(folder)
            run_build(folder, BUILD)
            found = build_inputs(folder / "target")
        for package in PACKAGES:
            rest = [other for other in PACKAGES if other != package]
            with self.subTest(package):
                self.assertIn(f"belongs to {package},", "\n".join(
                    unlisted_inputs(found, rest, DPKG)))

    def test_a_header_of_an_unlisted_package_is_found(self):
        said = messages_of(PACKAGES, source="#include <cppunit/TestCase.h>")
        self.assertIn("/usr/include/cppunit/TestCase.h (header) belongs to "
                      "libcppunit-dev", said)

    def test_a_library_linked_without_a_header_is_found(self):
        said = messages_of(PACKAGES, cmake="""
            target_link_options(small PRIVATE -Wl,--no-as-needed)
            target_link_libraries(small PRIVATE cppunit)
        """)
        self.assertIn("(library) belongs to libcppunit-dev", said)

    def test_a_cmake_file_of_an_unlisted_package_is_found(self):
        said = messages_of(PACKAGES, cmake="find_package(gflags REQUIRED)")
        self.assertIn("(cmake) belongs to libgflags-dev", said)

    def test_a_tool_of_an_unlisted_package_is_found(self):
        said = messages_of(PACKAGES, cmake="""
            add_custom_target(tell ALL COMMAND flatc --version)
        """)
        self.assertIn("(tool) belongs to flatbuffers-compiler", said)

    def test_a_file_of_no_package_is_found(self):
        with tempfile.TemporaryDirectory() as folder:
            header = Path(folder).resolve() / "local.hpp"
            header.touch()
            said = messages_of(PACKAGES, source=f'#include "{header}"')
        self.assertIn(f"{header} (header) belongs to no package", said)

    def test_a_failed_build_is_an_error(self):
        with self.assertRaises(BuildError):
            messages_of(PACKAGES, source="#include <no_such_header.hpp>")

    def test_a_listed_package_that_is_not_installed_is_named(self):
        self.assertEqual(
            ["no-such-package is listed but not installed: install it"],
            list(unlisted_inputs([], ["no-such-package"], DPKG)))


class debian_test(unittest.TestCase):

    def test_either_spelling_of_merged_folders_has_its_owner(self):
        real = os.path.realpath("/bin/sh")
        for spelling in debian.spellings(real):
            self.assertEqual({"dash"}, DPKG.owners([spelling])[spelling])

    def test_a_diverted_file_belongs_to_its_own_package(self):
        dpkg = debian.Dpkg()
        dpkg._diversions = debian.parse_diversions(
            "diversion of /usr/include/zstd.h to /usr/include/zstd.h.old "
            "by other\n")
        owners = dpkg.owners(["/usr/include/zstd.h", "/usr/include/zstd.h.old"])
        self.assertEqual({"other"}, owners["/usr/include/zstd.h"])
        self.assertEqual({"libzstd-dev"}, owners["/usr/include/zstd.h.old"])

    def test_lines_on_diversions_name_no_owner(self):
        self.assertEqual({"/bin/sh": {"dash"}}, debian.parse_owners(
            "diversion by dash from: /bin/sh\ndash: /bin/sh\n"))

    def test_a_relation_lists_its_alternatives(self):
        self.assertEqual([["a"], ["b", "c"]], debian.parse_relations(
            "a (>= 1), b:any | c [amd64], "))

    def test_dependencies_are_brought_and_recommended_packages_are_not(self):
        brought = DPKG.closure(["libzstd-dev"])
        self.assertIn("libzstd1", brought)
        self.assertIn("libc6", brought)
        self.assertNotIn("libcppunit-dev", brought)


class deploy_file_test(unittest.TestCase):

    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "system.toml"
            path.write_text(text)
            return read_deploy_file(path)

    def test_build_and_packages_are_read(self):
        read = self.read('build = "make"\npackages = ["g++"]\n')
        self.assertEqual(("make", ["g++"]), (read.build, read.packages))

    def test_what_is_missing_is_named(self):
        for text, remedy in (("packages = []", "`build`"),
                             ('build = "make"', "`packages`"),
                             ('build = "make"\npackages = "g++"', "texts")):
            with self.assertRaisesRegex(DeployFileError, remedy):
                self.read(text)


if __name__ == "__main__":
    unittest.main()
