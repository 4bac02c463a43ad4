/*
 * Checks that an order runs at most once while its owner changes.
 *
 * The model has one order key, two nodes and three release notes. The owner is
 * node 0 under notes 1 and 3 and node 1 under note 2. A caller sends the order
 * several times. Notes reach each node at any time but in order. Messages are
 * delayed and lost. Nodes crash and restart without their memory. A node may be
 * unable to reach the other. A step in one node is atomic: the code takes it
 * under the mutex of the node's order records.
 *
 * Properties: the order runs at most once; an attempt with the verdict not_run
 * has not run and will not run.
 *
 * Assumption: the key was created before any crash in the run. Keys that were
 * created after the start of their owner's records are not modelled. For those
 * keys the code relies on notes coming into force on every node within
 * orders::key_age_margin.
 *
 * Each of the macros NO_RECORD, NO_ASK, NO_VOID and NO_AGE removes one rule;
 * the check must then fail.
 */

#define NODES 2
#define ATTEMPTS 2
#define LAST_NOTE 3
#define CRASHES 1

mtype = { none, running, done, outcome_unknown, voided };    /* records */
mtype = { open, answered, not_run, may_have_run };           /* verdicts */

mtype record[NODES] = none;
bool restarted[NODES];    /* lost its memory since the key was created */
byte incarnation[NODES];
byte note[NODES] = 1;     /* the note in force */
bool void_attempt[4];     /* index: node * ATTEMPTS + attempt */
mtype verdict[ATTEMPTS] = open;
bool ran[ATTEMPTS];
byte runs;
byte crashes;

#define owner(n) ((n) == 2 -> 1 : 0)
#define previous_exists(n, node) \
    ((node) == 0 -> (n) == 3 : (n) == 2)
#define VOID_ATTEMPT(node, a) void_attempt[(node) * ATTEMPTS + (a)]

/* Sets the verdict of an attempt unless it has one. */
inline set_verdict(a, value)
{
    if
    :: verdict[a] == open -> verdict[a] = value
    :: else -> skip         /* the ingress has stopped waiting */
    fi
}

/* Handles an attempt that has arrived at the node. */
proctype attempt_at_owner(byte a; byte node)
{
    byte started_in;
    byte other = 1 - node;
    bool has_previous;      /* a previous owner must be asked */

    /* prepare: check the owner, the key's record and the key's age */
    atomic {
        started_in = incarnation[node];
        has_previous = previous_exists(note[node], node);
        if
        :: owner(note[node]) != node -> set_verdict(a, not_run); goto end
        :: else -> skip
        fi;
        if
        :: record[node] != none -> goto begin
        :: else -> skip
        fi;
#ifndef NO_AGE
        if
        :: restarted[node] -> set_verdict(a, may_have_run); goto end
        :: else -> skip
        fi;
#endif
    }

    /* request the ownership from the previous owner, which may be unreachable */
#ifndef NO_ASK
    if
    :: has_previous ->
        if
        :: set_verdict(a, may_have_run); goto end
        :: atomic {
            if
            :: record[other] == running ->
                set_verdict(a, may_have_run); goto end
            :: record[other] == done -> set_verdict(a, answered); goto end
            :: record[other] == outcome_unknown ->
                set_verdict(a, may_have_run); goto end
            :: record[other] == voided -> skip
            :: record[other] == none && restarted[other] ->
#ifdef NO_AGE
                record[other] = voided
#else
                set_verdict(a, may_have_run); goto end
#endif
            :: record[other] == none && !restarted[other] ->
#ifndef NO_VOID
                record[other] = voided
#else
                skip
#endif
            fi
           }
        fi
    :: else -> skip
    fi;
#endif

begin:
    atomic {
        if
        :: incarnation[node] != started_in -> goto end
        :: else -> skip
        fi;
        if
        :: VOID_ATTEMPT(node, a) -> set_verdict(a, not_run); goto end
        :: else -> skip
        fi;
        if
        :: record[node] == voided -> set_verdict(a, not_run); goto end
        :: record[node] == running -> set_verdict(a, may_have_run); goto end
        :: record[node] == done -> set_verdict(a, answered); goto end
        :: record[node] == outcome_unknown ->
            set_verdict(a, may_have_run); goto end
        :: record[node] == none ->
#ifndef NO_RECORD
            record[node] = running
#else
            skip
#endif
        fi;
    }

    /* the first byte goes to the target */
    atomic {
        if
        :: incarnation[node] != started_in -> goto end
        :: else -> skip
        fi;
        runs++;
        ran[a] = true;
        assert(runs <= 1);
        assert(verdict[a] != not_run);
    }

    /* the answer arrives or is lost */
    atomic {
        if
        :: incarnation[node] != started_in -> goto end
        :: else -> skip
        fi;
        if
        :: record[node] = done; set_verdict(a, answered)
        :: record[node] = outcome_unknown; set_verdict(a, may_have_run)
        fi
    }
end:
    skip
}

/* An ingress under any published note, so it sends to either node. */
proctype ingress(byte a)
{
    byte node;

    if
    :: node = 0
    :: node = 1
    fi;
    if
    :: run attempt_at_owner(a, node)
    :: skip                             /* the message is lost */
    fi;

    /* Waits for a verdict, or loses the connection and looks the attempt up. */
    if
    :: verdict[a] != open -> skip
    :: true ->
        atomic {
            if
            :: verdict[a] != open -> skip
            :: else ->
                if
                :: record[node] == done -> set_verdict(a, answered)
                :: record[node] == running -> set_verdict(a, may_have_run)
                :: record[node] == outcome_unknown ->
                    set_verdict(a, may_have_run)
                :: record[node] == voided -> set_verdict(a, not_run);
                   VOID_ATTEMPT(node, a) = true
                :: record[node] == none && restarted[node] ->
#ifdef NO_AGE
                    set_verdict(a, not_run); VOID_ATTEMPT(node, a) = true
#else
                    set_verdict(a, may_have_run)
#endif
                :: record[node] == none && !restarted[node] ->
                    set_verdict(a, not_run);
#ifndef NO_VOID
                    VOID_ATTEMPT(node, a) = true
#endif
                fi
            fi
        }
    :: true -> set_verdict(a, may_have_run)    /* the owner is unreachable */
    fi
}

/* Puts notes into force and crashes nodes, each at any time. */
active proctype environment()
{
    byte node;

    do
    :: note[0] < LAST_NOTE -> note[0]++
    :: note[1] < LAST_NOTE -> note[1]++
    :: crashes < CRASHES ->
        atomic {
            crashes++;
            if
            :: node = 0
            :: node = 1
            fi;
            incarnation[node]++;
            restarted[node] = true;
            record[node] = none;
            VOID_ATTEMPT(node, 0) = false;
            VOID_ATTEMPT(node, 1) = false;
            node = 0;
        }
    :: break
    od
}

init
{
    atomic {
        run ingress(0);
        run ingress(1);
    }
}
