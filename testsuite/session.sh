# Functions for golden sessions.

# start NAME PROGRAM ARGUMENT...: starts a process that logs to NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$name.log" 2>&1 &
    echo $! >>processes
    echo $! >"$name.pid"
}

# wait_for URL TEXT: waits until the response from URL contains TEXT.
wait_for() {
    for _ in $(seq 200); do
        curl -s "$1" 2>/dev/null | grep -q "$2" && return 0
        sleep 0.05
    done
    echo "timed out waiting for $2 at $1"
    return 1
}

# publish PLATFORM FILE: publishes the note in FILE.
publish() {
    curl -s --data-binary "@$2" "http://$1/admin/release"
}

# get ARGUMENT...: runs curl and prints the status, verdict, reason and first
# line of the body of the response.
get() {
    curl -s -D headers.txt -o body.txt "$@"
    grep -iE '^(HTTP|Hibiscustide-(Verdict|Reason|Replayed))' headers.txt |
        tr -d '\r'
    sed -E 's/"attempt":"[0-9a-f]*"/"attempt":"..."/' body.txt | head -n 1
}

# order_key AGE_MS SUFFIX: prints an order key (UUID version 7) of that age.
order_key() {
    local created
    created=$(printf '%012x' $(($(date +%s%3N) - $1)))
    echo "${created:0:8}-${created:8:4}-7000-8000-$2"
}
