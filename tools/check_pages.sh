#!/usr/bin/env bash
# Checks that the pages name what exists: settings keys, commands, events,
# error codes and files.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0

missing() {
    echo "pages: $1" >&2
    status=1
}

# Every error kind, log event and settings key stands in the operators' page.
for word in $(sed -n 's/^    {"\([a-z_]*\)",.*/\1/p' libs/base/src/error.cpp) \
    $(grep -rhoE 'log_event\(\s*log_level::[a-z]+,\s*"[a-z_]+"' libs/*/src |
        sed 's/.*"\(.*\)"/\1/' | sort -u) \
    $(sed -n 's/^  \([a-z_]*\):.*;/\1/p' libs/schema/schemas/{settings,gateway}.fbs |
        sort -u); do
    grep -qw "$word" docs/OPERATIONS.md ||
        missing "docs/OPERATIONS.md does not explain $word"
done

# Every command of the tool stands there, and every flag that is shown is one.
for word in $(sed -n 's/^    {"\([a-z]*\)", [01], .*/\1/p' \
    tools/barleyfork/commands.cpp); do
    grep -q "barleyfork.* $word" docs/OPERATIONS.md ||
        missing "docs/OPERATIONS.md does not show the command $word"
done
for flag in $(grep -rhoE -- '--[a-z]+_?[a-z_]+' docs/OPERATIONS.md |
    sort -u | sed 's/^--//'); do
    # gflags itself brings --version.
    [ "$flag" = version ] || grep -rqE "DEFINE_[a-z0-9]+\($flag," tools ||
        missing "docs/OPERATIONS.md shows the flag --$flag, which is not one"
done

# Every link within the pages leads to a file.
for page in README.md BUILDING.md CONTRIBUTING.md RELEASE_NOTES.md \
    docs/*.md libs/*/README.md platform/README.md; do
    for target in $(grep -oE '\]\([^)#:]+\)' "$page" | tr -d '])(' || true); do
        [ -e "$(dirname "$page")/$target" ] ||
            missing "$page links to $target, which is not there"
    done
done

# Every scenario that the design names is in the tree, and all are named.
for script in libs/scenario/scripts/*.scenario; do
    name=$(basename "$script" .scenario)
    grep -qw "$name" docs/DESIGN.md ||
        missing "docs/DESIGN.md does not name the scenario $name"
done
exit $status
