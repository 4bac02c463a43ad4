# Functions that start a region of two nodes on 127.NET.0.0/16. The session sets
# NET before it sources this file.
platform=127.$NET.0.1:2400
node1=127.$NET.1.1
node2=127.$NET.1.2

start_target() {
    start "target$1" hibtarget --name "lookup-$1" --listen "127.$NET.1.$1:8080" \
        --ledger "ledger$1" --mean-us 1000 --deviation 0 --drain-notice-ms 300
}

start_node() {
    start "node$1" hibnode --name "lookup-$1" --failure-domain "$2" \
        --caller-listen "127.$NET.1.$1:7000" \
        --peer-listen "127.$NET.1.$1:7400" \
        --admin-listen "127.$NET.1.$1:7401" --target "127.$NET.1.$1:8080" \
        --platform "$platform" --expected-nodes 2 --drain-notice-ms 300
}

# note REVISION PREDECESSOR FIELDS: writes a note to the file REVISION.json.
note() {
    echo "{\"revision\":$1,\"predecessor\":\"$2\"$3}" >"$1.json"
}

# digest_of FILE...: prints the digest of the last note.
digest_of() {
    hibctl check --json "$@" | sed -E 's/.*"digest":"([0-9a-f]+)".*/\1/'
}

first_note() {
    note 1 "" ",\"services\":{\"added\":[{\"name\":\"lookup\",\"slots\":20,
        \"cold_slots\":4,\"timeout_ms\":2000,\"resend_horizon_s\":60,\"routes\":[
        {\"prefix\":\"/\",\"class\":\"live\"},
        {\"prefix\":\"/status/\",\"class\":\"status\"},
        {\"prefix\":\"/orders/\",\"class\":\"order\"},
        {\"prefix\":\"/inner/\",\"class\":\"internal\"}]}]},
        \"targets\":{\"added\":[
        {\"name\":\"lookup-1\",\"service\":\"lookup\",
        \"failure_domain\":\"a\",\"node\":\"$node1:7400\"},
        {\"name\":\"lookup-2\",\"service\":\"lookup\",
        \"failure_domain\":\"b\",\"node\":\"$node2:7400\"}]},
        \"failure_domains\":{\"added\":[
        {\"name\":\"a\",\"region\":\"r\"},{\"name\":\"b\",\"region\":\"r\"}]}"
}

start_region() {
    start platform hibplatform --listen "$platform"
    wait_for "http://$platform/admin/counts" reads
    first_note
    publish "$platform" 1.json
    start_target 1
    start_target 2
    start_node 1 a
    start_node 2 b
    for node in "$node1" "$node2"; do
        wait_for "http://$node:7401/health" ready
        wait_for "http://$node:7401/state" '"target_state":"up"'
    done
}

# starts ID: prints how many times the targets have started the call ID.
starts() {
    cat ledger1 ledger2 | grep '"event":"start"' | grep -c "\"call\":\"$1\""
}
