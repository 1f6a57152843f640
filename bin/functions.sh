# Functions of the scripts in this folder; sourced, not run. The script sets usage first.

wants_help() {
    [ "${1:-}" = --help ] || [ "${1:-}" = -h ]
}

# Ends the script for wrong use: wrong_use SENTENCE
wrong_use() {
    echo "$1" >&2
    echo "$usage" >&2
    exit 2
}

# Ends the script unless the argument is a whole number in the range: require_number NAME VALUE LOWEST HIGHEST
require_number() {
    case "$2" in
        '' | *[!0-9]* | ??????????*) ;;
        *) if [ "$2" -ge "$3" ] && [ "$2" -le "$4" ]; then return 0; fi ;;
    esac
    wrong_use "$1 must be a whole number from $3 to $4, not '$2'"
}

is_built() {
    [ -d "$1/target/lib" ] && ls "$1"/target/*.jar > /dev/null 2>&1
}

# Ends the script if there is no build output; help is given without one: require_built MODULE [ARGUMENT...]
require_built() {
    if is_built "$1"; then
        return 0
    fi
    shift
    not_built="There is no build output; run mvn -q -B -DskipTests package, or bin/quickstart, which builds."
    if wants_help "$@"; then
        echo "$usage"
        echo "$not_built"
        exit 0
    fi
    echo "$not_built" >&2
    exit 2
}
