# Shell functions shared by the scripts in this directory; to be sourced. The sourcing script sets $usage first.

help_requested() {
    [ "${1:-}" = --help ] || [ "${1:-}" = -h ]
}

# Prints an error and the usage, and exits with status 2: usage_error MESSAGE
usage_error() {
    echo "$1" >&2
    echo "$usage" >&2
    exit 2
}

# Exits with a usage error unless VALUE is a whole number in the range: require_number NAME VALUE MINIMUM MAXIMUM
require_number() {
    case "$2" in
        '' | *[!0-9]* | ??????????*) ;;
        *) if [ "$2" -ge "$3" ] && [ "$2" -le "$4" ]; then return 0; fi ;;
    esac
    usage_error "$1 must be a whole number from $3 to $4, not '$2'"
}

is_built() {
    [ -d "$1/target/lib" ] && ls "$1"/target/*.jar > /dev/null 2>&1
}

# Exits with an error if the module is not built, or with the usage if help is requested:
# require_built MODULE [ARGUMENT...]
require_built() {
    if is_built "$1"; then
        return 0
    fi
    shift
    not_built="No build output found; run mvn -q -B -DskipTests package, or bin/quickstart, which builds the project."
    if help_requested "$@"; then
        echo "$usage"
        echo "$not_built"
        exit 0
    fi
    echo "$not_built" >&2
    exit 2
}
