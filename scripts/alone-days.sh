#!/usr/bin/env bash
# Writes days for the users' bench into a directory: one for each kind of fault, which occurs twice.
set -euo pipefail
directory=${1:?a directory}
mkdir -p "$directory"
day() {
    printf 'name = "alone-%s"\n%s = [\n  { at = 3.0, kind = "%s"%s },\n  { at = 16.0, kind = "%s"%s },\n]\n' \
        "$2" "$1" "$2" "$3" "$2" "$3" >"$directory/$2.toml"
}
for kind in release scale_in roll_term revoke add_nodes scale_out hup; do day plan "$kind" ''; done
day plan big_config ', count = 100'
day plan config_storm ', for_s = 3.0, gap_s = 0.4'
day plan config_change ', how = "route"'
day faults burst ', x = 2.2'
for kind in hot_key retry_abuse give_up shift srv_crash srv_grey srv_slow srv_cut answer_lost garble \
    replace_with_reuse node_kill node_freeze node_slow after_ack_kill herd_kill clock_step core_cut \
    node_cut lossy reset_conns platform_down platform_slow platform_lost platform_compact; do
    day faults "$kind" ''
done
