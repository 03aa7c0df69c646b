# Starts the processes of a layout. Sourced by the other scripts, which set
# FOLDER to the layout's folder and BIN to the folder of the programs.
PIDS=()

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

# address NAME prints the address of a process.
address() { sed -n "s/.*\"$1\": \"\([0-9.:]*\)\".*/\1/p" "$FOLDER/addresses.json"; }

wait_for() {
  local i
  for i in $(seq 1 100); do
    if curl -fs -o /dev/null "http://$1"; then return 0; fi
    sleep 0.1
  done
  echo "nothing answers at $1" >&2
  return 1
}

# configure writes the records of the layout and grants a key to each customer.
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
