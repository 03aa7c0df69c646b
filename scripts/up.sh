# Functions that start, configure and stop the processes of a deployment written by
# cactusspoke-lab layout. Scripts that source this file set FOLDER to the layout's
# folder and BIN to the folder of the executables.
PIDS=()

# start_all starts the processes listed in processes.txt, each with its log and pid file.
start_all() {
  local name program rest
  while read -r name program rest; do
    # shellcheck disable=SC2086
    "$BIN/$program" $rest >"$FOLDER/$name.log" 2>&1 &
    PIDS+=("$!")
    echo "$!" >"$FOLDER/$name.pid"
  done <"$FOLDER/processes.txt"
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# address NAME prints the host:port of a process.
address() { sed -n "s/.*\"$1\": \"\([0-9.:]*\)\".*/\1/p" "$FOLDER/addresses.json"; }

# wait_for ADDRESS/PATH waits up to 100 attempts, 0.1 s apart, for a successful answer.
wait_for() {
  local i
  for i in $(seq 1 100); do
    if curl -fs -o /dev/null "http://$1"; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for http://$1" >&2
  return 1
}

# configure stores the profiles, services and customers of the layout and grants each
# customer a key.
configure() {
  local settings="$FOLDER/settings-entry-0.json" file customer
  mkdir -p "$FOLDER/keys"
  for file in "$FOLDER"/profile-*.json; do "$BIN/cactusspoke" profile put --settings "$settings" "$file"; done
  for file in "$FOLDER"/service-*.json; do "$BIN/cactusspoke" service put --settings "$settings" "$file"; done
  for file in "$FOLDER"/customer-*.json; do
    customer=$(basename "$file" .json)
    customer=${customer#customer-}
    "$BIN/cactusspoke" customer put --settings "$settings" "$file"
    "$BIN/cactusspoke" key grant --settings "$settings" --customer "$customer" >"$FOLDER/keys/$customer.key"
  done
}
