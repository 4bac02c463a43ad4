/*
 * How an order runs at most once while its home changes.
 *
 * One order key, two nodes, three release notes: the home is node 0 under
 * notes 1 and 3 and node 1 under note 2. A caller sends the order several
 * times. Notes reach each node at any time but in order; messages are delayed
 * and lost; nodes crash and start again without memory; a node may be unable to
 * reach the other. A step in one node is atomic, as it is under the mutex of
 * order_desk.
 *
 * Properties: at most one run of the key; an attempt that was told "not run"
 * has not run and never will.
 *
 * Assumption: the key was made before any crash in the run. A key that proves
 * to be younger than its home's start is not asked about here; for those the
 * code relies on notes being in force within orders::key_age_margin.
 *
 * Built with one of NO_RECORD, NO_ASK, NO_VOID or NO_AGE, one rule is left out
 * and the check must fail.
 */

#define NODES 2
#define ATTEMPTS 2
#define LAST_NOTE 3
#define CRASHES 1

mtype = { none, running, done, lost, voided };        /* records */
mtype = { open, answered, not_run, may_have_run };    /* verdicts */

mtype record[NODES] = none;
bool restarted[NODES];      /* lost its memory since the key was made */
byte incarnation[NODES];
byte note[NODES] = 1;          /* the note in force */
bool void_attempt[4];       /* by node * ATTEMPTS + attempt */
mtype verdict[ATTEMPTS] = open;
bool ran[ATTEMPTS];
byte runs;
byte crashes;

#define home(n) ((n) == 2 -> 1 : 0)
#define previous_exists(n, node) \
    ((node) == 0 -> (n) == 3 : (n) == 2)
#define VOID_ATTEMPT(node, a) void_attempt[(node) * ATTEMPTS + (a)]

inline tell(a, what)
{
    if
    :: verdict[a] == open -> verdict[a] = what
    :: else -> skip         /* the ingress no longer listens */
    fi
}

/* What the home does with an attempt that has arrived. */
proctype attempt_at_home(byte a; byte node)
{
    byte started_in;
    byte other = 1 - node;
    bool asks;              /* there is a previous home to be asked */

    /* prepare: is this the home, is the key known, is it too old? */
    atomic {
        started_in = incarnation[node];
        asks = previous_exists(note[node], node);
        if
        :: home(note[node]) != node -> tell(a, not_run); goto end
        :: else -> skip
        fi;
        if
        :: record[node] != none -> goto begin
        :: else -> skip
        fi;
#ifndef NO_AGE
        if
        :: restarted[node] -> tell(a, may_have_run); goto end
        :: else -> skip
        fi;
#endif
    }

    /* clear with the previous home, which may be out of reach */
#ifndef NO_ASK
    if
    :: asks ->
        if
        :: tell(a, may_have_run); goto end
        :: atomic {
            if
            :: record[other] == running -> tell(a, may_have_run); goto end
            :: record[other] == done -> tell(a, answered); goto end
            :: record[other] == lost -> tell(a, may_have_run); goto end
            :: record[other] == voided -> skip
            :: record[other] == none && restarted[other] ->
#ifdef NO_AGE
                record[other] = voided
#else
                tell(a, may_have_run); goto end
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
        :: VOID_ATTEMPT(node, a) -> tell(a, not_run); goto end
        :: else -> skip
        fi;
        if
        :: record[node] == voided -> tell(a, not_run); goto end
        :: record[node] == running -> tell(a, may_have_run); goto end
        :: record[node] == done -> tell(a, answered); goto end
        :: record[node] == lost -> tell(a, may_have_run); goto end
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

    /* the answer comes, or never does */
    atomic {
        if
        :: incarnation[node] != started_in -> goto end
        :: else -> skip
        fi;
        if
        :: record[node] = done; tell(a, answered)
        :: record[node] = lost; tell(a, may_have_run)
        fi
    }
end:
    skip
}

/* An ingress, whose note may be any that was published. */
proctype ingress(byte a)
{
    byte node;

    if
    :: node = 0
    :: node = 1
    fi;
    if
    :: run attempt_at_home(a, node)
    :: skip                             /* the message is lost */
    fi;

    /* It waits for a verdict, or loses touch and looks the attempt up. */
    if
    :: verdict[a] != open -> skip
    :: true ->
        atomic {
            if
            :: verdict[a] != open -> skip
            :: else ->
                if
                :: record[node] == done -> tell(a, answered)
                :: record[node] == running -> tell(a, may_have_run)
                :: record[node] == lost -> tell(a, may_have_run)
                :: record[node] == voided -> tell(a, not_run);
                   VOID_ATTEMPT(node, a) = true
                :: record[node] == none && restarted[node] ->
#ifdef NO_AGE
                    tell(a, not_run); VOID_ATTEMPT(node, a) = true
#else
                    tell(a, may_have_run)
#endif
                :: record[node] == none && !restarted[node] ->
                    tell(a, not_run);
#ifndef NO_VOID
                    VOID_ATTEMPT(node, a) = true
#endif
                fi
            fi
        }
    :: true -> tell(a, may_have_run)    /* the home is out of reach */
    fi
}

/* Notes come into force and nodes crash, each at any time. */
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
