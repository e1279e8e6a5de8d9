# Draws a schedule of faults from a seed. To be sourced.

# draw LOW HIGH: sets REPLY to a number in the range. Subshells draw from a
# generator of their own, so results are passed in variables.
draw() { REPLY=$(($1 + (RANDOM * 32768 + RANDOM) % ($2 - $1 + 1))); }

# draw_of WORD...: sets REPLY to one of the words.
draw_of() {
  local index
  draw 1 $#
  index=$REPLY
  REPLY=${!index}
}

# draw_node NODES: sets REPLY to "owner", more often than not, or a node's number.
draw_node() {
  draw 1 10
  if [ "$REPLY" -le 6 ]; then REPLY=owner; else draw 1 "$1"; fi
}

# draw_nodes NODES: sets REPLY to the owner or to a third of the nodes.
draw_nodes() {
  local nodes=$1 first count list="" each
  draw 1 2
  if [ "$REPLY" = 1 ]; then
    REPLY=owner
    return
  fi
  draw 1 "$nodes"
  first=$REPLY
  count=$(((nodes + 2) / 3))
  for ((each = 0; each < count; ++each)); do
    list+="${list:+,}$(((first + each - 1) % nodes + 1))"
  done
  REPLY=$list
}

# plan_worker_fault AT WORKERS: prints one fault, or several at once, of workers.
plan_worker_fault() {
  local at=$1 workers=$2 worker time how more
  draw 0 $((workers - 1))
  worker=$REPLY
  draw 1 38
  case $REPLY in
  [1-9] | 1[0-2])
    draw 1 4
    more=1
    [ "$REPLY" = 1 ] && more=$((1 + workers / 5))
    draw 0 2500
    time=$REPLY
    draw 1 3
    how=""
    [ "$REPLY" = 1 ] && how=',"new_id":1'
    for (( ; more > 0; --more)); do
      echo "$at control {\"crash_worker\":$worker,\"down_ms\":$time$how}"
      worker=$(((worker + 1) % workers))
    done
    ;;
  1[3-9] | 2[0-3])
    draw 500 5000
    time=$REPLY
    draw_of silent replies reset
    how=$REPLY
    draw 1 4
    echo "$at control {\"cut_worker\":$worker,\"for_ms\":$time,\"how\":\"$how\",\"reborn\":$((REPLY == 1))}"
    ;;
  2[4-6])
    draw 300 2000
    echo "$at control {\"failing_worker\":$worker,\"for_ms\":$REPLY}"
    ;;
  2[7-9] | 3[0-2])
    draw 1000 5000
    time=$REPLY
    draw 1 3
    echo "$at control {\"orders_late\":0.$REPLY,\"for_ms\":$time}"
    ;;
  3[3-5])
    draw 500 4000
    echo "$at control {\"unlist_worker\":$worker,\"for_ms\":$REPLY}"
    ;;
  *)
    draw 1000 3000
    time=$REPLY
    draw 0 1
    how=""
    [ "$REPLY" = 1 ] && how=',"new_id":1'
    echo "$at control {\"drain_worker\":$worker,\"remaining_ms\":$time$how}"
    ;;
  esac
}

# plan_store_fault AT NODES: prints one fault of the store.
plan_store_fault() {
  local at=$1 nodes=$2 time how who
  draw 1 30
  case $REPLY in
  [1-5])
    draw 500 3500
    time=$REPLY
    draw 1 3
    how=""
    [ "$REPLY" = 1 ] && how=',"how":"silent"'
    echo "$at control {\"store_down_ms\":$time$how}"
    ;;
  [6-9] | 1[0-9])
    draw_nodes "$nodes"
    who=$REPLY
    draw 1000 6000
    time=$REPLY
    draw_of reset busy many silent early early early early
    how=$REPLY
    if [ "$how" = early ]; then
      draw 1 5
      how="early 0.$REPLY"
    fi
    echo "$at refuse $who $time $how"
    ;;
  2[0-6])
    draw 1000 4500
    time=$REPLY
    draw 1 5
    how=$REPLY
    draw 0 1
    echo "$at control {\"store_lost\":0.$how,\"for_ms\":$time,\"late\":$REPLY}"
    ;;
  *)
    draw 20 120
    how=$REPLY
    draw 1000 4500
    echo "$at control {\"store_slow_ms\":$how,\"for_ms\":$REPLY}"
    ;;
  esac
}

# plan_node_fault AT NODES: prints one fault of a node.
plan_node_fault() {
  local at=$1 who
  draw_node "$2"
  who=$REPLY
  draw 1 30
  case $REPLY in
  [1-9] | 1[0-3])
    draw 100 2500
    echo "$at kill $who $REPLY"
    ;;
  1[4-9] | 2[0-3])
    draw 500 6000
    echo "$at pause $who $REPLY"
    ;;
  2[4-8])
    draw 200 1500
    echo "$at term $who $REPLY"
    ;;
  *) echo "$at hup $who" ;;
  esac
}

# plan_faults SEED SECONDS NODES WORKERS: prints "MILLISECONDS VERB ARGUMENT..." for
# each fault, in order.
plan_faults() {
  local seconds=$2 nodes=$3 workers=$4 at=800
  RANDOM=$1
  while [ "$at" -lt $((1000 * seconds)) ]; do
    draw 1 100
    if [ "$REPLY" -le 40 ]; then
      plan_worker_fault "$at" "$workers"
    elif [ "$REPLY" -le 72 ]; then
      plan_store_fault "$at" "$nodes"
    else
      plan_node_fault "$at" "$nodes"
    fi
    draw 1 100
    if [ "$REPLY" -le 25 ]; then
      draw 0 80
    elif [ "$REPLY" -le 80 ]; then
      draw 150 1200
    else
      draw 1500 3500
    fi
    at=$((at + REPLY))
  done
}
